#include "systems/retention.hpp"

#include "systems/claim_row.hpp"
#include "systems/fleet_log.hpp"
#include "systems/job_row.hpp"

#include <utility>

namespace cowslippass
{

namespace
{

/// The platform tells its clock in whole seconds, and its answers take up to
/// 1.5 s; a row may seem this much older than it is.
constexpr milliseconds time_margin{5'000};

} // namespace

bool is_absence_valid(
    monotonic_time looked_at, monotonic_time now, milliseconds lifetime)
{
    return now - looked_at < lifetime / 2;
}

retention_rule::retention_rule(
    milliseconds lifetime, platform_time now, session_check is_gone)
    : lifetime_(lifetime), now_(now), is_gone_(std::move(is_gone))
{
}

bool retention_rule::is_old(platform_time time) const
{
    if (time == platform_time() || now_ == platform_time())
        return false;
    return now_.get() - time.get() > (lifetime_ + time_margin).count();
}

retention_decision retention_rule::judge_claim(const row& it) const
{
    claim_row claim = claim_row::decode(it.value);
    retention_decision out;
    if (!is_old(claim.claimed_at))
        return out;
    out.verdict = retention_verdict::remove;
    if (claim.state == claim_state::not_run)
        return out;
    std::string stored = claim.get_result_name();
    out.objects.push_back(stored);
    if (claim.state == claim_state::done)
    {
        if (!claim.result.empty() && claim.result != stored)
            out.objects.push_back(claim.result);
        return out;
    }
    // The task of a session that is gone runs no more, and no target knows its
    // outcome by now.
    if (!is_gone_(claim.session))
    {
        out.verdict = retention_verdict::remove_if_stored;
        out.proof = stored;
    }
    return out;
}

retention_decision retention_rule::judge_ended_job(const row& it) const
{
    job_row job = job_row::decode(it.value);
    retention_decision out;
    if (!job.is_final() || !is_old(job.ended_at))
        return out;
    out.verdict = retention_verdict::remove;
    out.objects.push_back(job.order.payload);
    if (!job.result.empty())
        out.objects.push_back(job.result);
    return out;
}

retention_decision retention_rule::judge_command(const row& it) const
{
    retention_decision out;
    if (is_old(decode_fleet_command_time(it)))
        out.verdict = retention_verdict::remove;
    return out;
}

} // namespace cowslippass
