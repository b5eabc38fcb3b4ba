#include "systems/lease_keeper.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

namespace
{

using json = nlohmann::json;

/// Part of the lease time that the holder gives up, as clocks of two machines
/// do not run at exactly the same rate.
constexpr int clock_margin_divisor = 10;

} // namespace

lease_keeper::lease_keeper(
    const std::string& name, session_id session, milliseconds lease_time)
    : key_("leases/" + name), session_(session), lease_time_(lease_time)
{
}

lease_keeper::content lease_keeper::decode(const row& it)
try
{
    if (it.version.get() == 0)
        return {};
    json body = json::parse(it.value);
    return {session_id(body.at("session").get<std::uint64_t>()),
        fencing_token(body.at("fencing").get<std::uint64_t>())};
}
catch (const json::exception& e)
{
    throw systems_error("bad_lease_row", it.key + ": " + e.what());
}

transaction lease_keeper::make_transaction(
    row_version version, const content& to) const
{
    json body{{"session", to.holder.get()}, {"fencing", to.fencing.get()}};
    return {{{key_, version}}, {{key_, body.dump()}}};
}

void lease_keeper::on_read(
    const row& it, monotonic_time sent, monotonic_time received)
{
    content found = decode(it);
    read_ = it;
    read_sent_ = sent;
    if (!seen_since_ || it.version != seen_)
    {
        seen_ = it.version;
        seen_since_ = received;
    }
    bool is_own = found.holder == session_ && it.version.get() != 0;
    if (!is_own)
    {
        held_version_ = row_version(0);
        attempt_.reset();
        return;
    }
    // A transaction whose reply was lost took effect, as the row changed. A
    // version that was given back is not taken up again, as the release may
    // still arrive.
    if (attempt_ && it.version != attempt_->base && it.version != released_)
        set_held(it.version, *attempt_);
    attempt_.reset();
}

void lease_keeper::on_read_failed()
{
    read_.reset();
    seen_since_.reset();
}

bool lease_keeper::is_free(monotonic_time now) const
{
    return decode(*read_).holder.get() == 0 ||
           now - *seen_since_ >= lease_time_;
}

std::optional<transaction> lease_keeper::plan(monotonic_time now)
{
    if (!read_)
        return std::nullopt;
    content found = decode(*read_);
    bool is_own = found.holder == session_ && read_->version.get() != 0;
    if (!is_own && !is_free(now))
        return std::nullopt;
    fencing_token fencing =
        is_own ? found.fencing : fencing_token(found.fencing.get() + 1);
    // Any own write that took effect since the row had this version, also an
    // older one that was delayed, did so after the read was sent.
    attempt_ = attempt{fencing, read_->version, read_sent_};
    transaction tx = make_transaction(read_->version, {session_, fencing});
    read_.reset();
    return tx;
}

std::optional<transaction> lease_keeper::plan_release()
{
    if (held_version_.get() == 0)
        return std::nullopt;
    transaction tx = make_transaction(held_version_, {session_id(0), fencing_});
    released_ = held_version_;
    held_version_ = row_version(0);
    attempt_.reset();
    read_.reset();
    return tx;
}

void lease_keeper::on_result(transaction_outcome outcome, row_version version)
{
    if (!attempt_)
        return;
    if (outcome == transaction_outcome::committed)
        set_held(version, *attempt_);
    // An unknown outcome is resolved by the next read.
    if (outcome != transaction_outcome::unknown)
        attempt_.reset();
}

void lease_keeper::set_held(row_version version, const attempt& by)
{
    held_version_ = version;
    fencing_ = by.fencing;
    // Others count from when they first see the write.
    held_until_ = by.since + lease_time_ - lease_time_ / clock_margin_divisor;
}

bool lease_keeper::is_held(monotonic_time now) const
{
    return held_version_.get() != 0 && now < held_until_;
}

void lease_keeper::add_condition(transaction& tx) const
{
    if (held_version_.get() == 0)
        throw systems_error("lease_not_held", key_ + " is not held");
    tx.conditions.push_back({key_, held_version_});
}

} // namespace cowslippass
