#include "systems/freshness.hpp"

#include <algorithm>

namespace cowslippass
{

void freshness::note_version(config_version version)
{
    if (version <= version_)
        return;
    version_ = version;
    highest_ = std::max(highest_, version);
    round_.reset();
    if (!pending_ || pending_->version > version_)
        return;
    advance(pending_->at);
    pending_.reset();
}

freshness::verdict freshness::note_head_read(
    monotonic_time sent, config_version version)
{
    return confirm(sent, version);
}

freshness::verdict freshness::note_peer(
    monotonic_time asked, milliseconds age, config_version version)
{
    return confirm(asked - age, version);
}

std::uint64_t freshness::begin_agreement_round(
    monotonic_time now, const std::vector<session_id>& sessions)
{
    ++round_number_;
    round_.reset();
    // An empty list would agree with nobody; a higher version that was heard
    // of proves that the version in hand is not the newest.
    if (sessions.empty() || highest_ > version_)
        return round_number_;
    round_ = agreement_round{
        now, version_, std::set<session_id>(sessions.begin(), sessions.end())};
    return round_number_;
}

freshness::verdict freshness::on_agreement_answer(std::uint64_t round,
    session_id session, config_version version, bool is_platform_reachable,
    bool has_unresolved_change)
{
    highest_ = std::max(highest_, version);
    bool is_open = round_ && round == round_number_;
    if (highest_ > version_)
    {
        round_.reset();
        return verdict::behind;
    }
    if (!is_open)
        return verdict::ignored;
    if (version != round_->version || is_platform_reachable ||
        has_unresolved_change)
    {
        round_.reset();
        return verdict::ignored;
    }
    round_->missing.erase(session);
    if (!round_->missing.empty())
        return verdict::ignored;
    advance(round_->began);
    round_.reset();
    return verdict::confirmed;
}

std::optional<milliseconds> freshness::get_age(monotonic_time now) const
{
    if (!fresh_as_of_)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(now - *fresh_as_of_);
}

bool freshness::is_fresh(monotonic_time now) const
{
    return fresh_as_of_ && now < get_deadline();
}

monotonic_time freshness::get_deadline() const
{
    return fresh_as_of_ ? *fresh_as_of_ + limit_ : monotonic_time{};
}

freshness::verdict freshness::confirm(monotonic_time at, config_version version)
{
    highest_ = std::max(highest_, version);
    if (version < version_)
        return verdict::ignored;
    if (version == version_)
    {
        advance(at);
        return verdict::confirmed;
    }
    // Kept until the log entry arrives, so that an entry that is always a
    // little behind a run of changes does not lose its freshness.
    bool is_newer = !pending_ || version > pending_->version ||
                    (version == pending_->version && at > pending_->at);
    if (is_newer)
        pending_ = confirmation{at, version};
    return verdict::behind;
}

void freshness::advance(monotonic_time at)
{
    if (!fresh_as_of_ || at > *fresh_as_of_)
        fresh_as_of_ = at;
}

} // namespace cowslippass
