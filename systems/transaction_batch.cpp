#include "systems/transaction_batch.hpp"

#include <algorithm>

namespace cowslippass
{

bool transaction_batch::try_add(std::uint64_t id, const transaction& added)
{
    std::set<std::string> keys;
    for (const auto& it : added.conditions)
        keys.insert(it.key);
    for (const auto& it : added.writes)
        keys.insert(it.key);
    bool is_full = !members_.empty() &&
                   merged_.writes.size() + added.writes.size() > most_writes_;
    bool shares_row = std::any_of(keys.begin(), keys.end(),
        [this](const std::string& key) { return keys_.contains(key); });
    if (is_full || shares_row)
        return false;
    merged_.conditions.insert(merged_.conditions.end(),
        added.conditions.begin(), added.conditions.end());
    merged_.writes.insert(
        merged_.writes.end(), added.writes.begin(), added.writes.end());
    keys_.insert(keys.begin(), keys.end());
    members_.push_back({id, std::move(keys)});
    return true;
}

transaction_batch::result transaction_batch::split(transaction_outcome outcome,
    const std::vector<std::string>& failed_keys) const
{
    result all;
    for (const auto& it : members_)
    {
        bool is_own = std::any_of(failed_keys.begin(), failed_keys.end(),
            [&](const std::string& key) { return it.keys.contains(key); });
        bool is_bystander = outcome == transaction_outcome::conflict &&
                            !failed_keys.empty() && !is_own;
        if (is_bystander)
            all.retry.push_back(it.id);
        else
            all.known.push_back({it.id, outcome});
    }
    return all;
}

} // namespace cowslippass
