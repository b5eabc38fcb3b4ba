#include "systems/coordination/coordinator_election.hpp"

namespace cowslippass
{

coordinator_election::coordinator_election(
    std::string boot, std::string address)
    : boot_(std::move(boot)), address_(std::move(address))
{
}

void coordinator_election::record_head(const std::optional<ledger_head>& head,
    row_version version, boot_time sent_at, boot_time now)
{
    if (!has_read_head_ || version != version_)
        version_first_seen_ = now;
    if (!head_ || !head || head->holder != head_->holder)
    {
        reported_silence_ = milliseconds(0);
        is_holder_replaced_ = false;
    }
    has_read_head_ = true;
    head_ = head;
    version_ = version;
    last_read_sent_at_ = sent_at;
}

void coordinator_election::record_probe(milliseconds renewed_age, boot_time now)
{
    reported_silence_ = renewed_age;
    reported_at_ = now;
    is_holder_suspect_ = renewed_age > max_renewal_age;
}

void coordinator_election::record_probe_failure()
{
    is_holder_suspect_ = true;
}

void coordinator_election::record_replacement()
{
    is_holder_suspect_ = true;
    is_holder_replaced_ = true;
}

bool coordinator_election::is_vacant() const
{
    if (!head_ || head_->is_released || is_holder_replaced_)
        return true;
    // This process listens at the holder's address, so the holder has ended, or
    // this process itself held the role and its term has ended.
    return head_->address == address_ || head_->holder == boot_;
}

bool coordinator_election::may_take_over(boot_time now) const
{
    if (!has_read_head_ || !is_holder_suspect_ ||
        now - last_read_sent_at_ > max_read_age)
        return false;
    auto unchanged = last_read_sent_at_ - version_first_seen_;
    if (unchanged < takeover_delay_)
        return false;
    if (is_vacant())
        return true;
    // An old report is ignored: the holder may have written since.
    if (reported_silence_ >= reported_silence_limit + takeover_delay_ &&
        now - reported_at_ <= max_read_age)
        return true;
    return unchanged >= unchanged_head_limit + takeover_delay_;
}

} // namespace cowslippass
