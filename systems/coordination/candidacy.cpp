#include "systems/coordination/candidacy.hpp"

namespace cowslippass
{

candidacy::candidacy(std::string boot, std::string address)
    : boot_(std::move(boot)), address_(std::move(address))
{
}

void candidacy::note_head(const std::optional<ledger_head>& head,
    row_version version, boot_time sent_at, boot_time now)
{
    if (!is_read_ || version != version_)
        first_seen_ = now;
    if (!head_ || !head || head->holder != head_->holder)
    {
        told_silence_ = milliseconds(0);
        is_replaced_ = false;
    }
    is_read_ = true;
    head_ = head;
    version_ = version;
    last_read_ = sent_at;
}

void candidacy::note_probe(milliseconds renewed_age, boot_time now)
{
    told_silence_ = renewed_age;
    told_at_ = now;
    is_suspect_ = renewed_age > renewal_limit;
}

void candidacy::note_probe_failure()
{
    is_suspect_ = true;
}

void candidacy::note_replaced()
{
    is_suspect_ = true;
    is_replaced_ = true;
}

bool candidacy::is_vacant() const
{
    if (!head_ || head_->is_released || is_replaced_)
        return true;
    // Another boot listens at its address now, or its term ended here.
    return head_->address == address_ || head_->holder == boot_;
}

bool candidacy::may_take_over(boot_time now) const
{
    if (!is_read_ || !is_suspect_ || now - last_read_ > read_age_limit)
        return false;
    auto unchanged = last_read_ - first_seen_;
    if (unchanged < handicap_)
        return false;
    if (is_vacant())
        return true;
    // What it said a while ago says nothing of what it has written since.
    if (told_silence_ >= told_silence_limit + handicap_ &&
        now - told_at_ <= read_age_limit)
        return true;
    return unchanged >= silence_limit + handicap_;
}

} // namespace cowslippass
