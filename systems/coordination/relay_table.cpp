#include "systems/coordination/relay_table.hpp"

#include <algorithm>

namespace cowslippass
{

relay_table::relay_table(relay_options options) : options_(options) {}

void relay_table::record_contact(const relay_info& relay, boot_time now)
{
    candidate& it = candidates_[relay.address];
    it.info = relay;
    it.last_contact = now;
}

void relay_table::record_loss(const std::string& address, boot_time now)
{
    selected_.erase(address);
    if (auto it = candidates_.find(address); it != candidates_.end())
        it->second.usable_from = now + options_.loss_back_off;
}

void relay_table::remove(const std::string& address)
{
    selected_.erase(address);
    candidates_.erase(address);
}

bool relay_table::is_usable(const candidate& it, boot_time now) const
{
    return now - it.last_contact <= options_.max_contact_age &&
           now >= it.usable_from;
}

void relay_table::select(
    const std::map<data_centre_id, std::size_t>& targets, boot_time now)
{
    std::size_t total = 0;
    for (const auto& [data_centre, n] : targets)
        total += n;
    if (total < options_.min_targets)
    {
        selected_.clear();
        return;
    }
    std::map<data_centre_id, std::size_t> missing;
    for (const auto& [data_centre, n] : targets)
        missing[data_centre] =
            (n + options_.targets_per_relay - 1) / options_.targets_per_relay;
    std::vector<const candidate*> unselected;
    for (const auto& [address, it] : candidates_)
    {
        if (!is_usable(it, now))
            selected_.erase(address);
        else if (!selected_.contains(address))
            unselected.push_back(&it);
        else if (auto n = missing.find(it.info.data_centre);
                 n != missing.end() && n->second > 0)
            --n->second;
    }
    std::ranges::stable_sort(unselected, std::greater(),
        [](const candidate* it) { return it->info.processor_share; });
    for (const candidate* it : unselected)
    {
        auto n = missing.find(it->info.data_centre);
        if (n == missing.end() || n->second == 0)
            continue;
        --n->second;
        selected_.insert(it->info.address);
    }
}

std::vector<relay_info> relay_table::list_selected() const
{
    std::vector<relay_info> out;
    for (const std::string& it : selected_)
        out.push_back(candidates_.at(it).info);
    return out;
}

const relay_info* relay_table::choose(
    const target_id& target, const data_centre_id& data_centre) const
{
    const relay_info* best = nullptr;
    auto best_rank = std::pair(false, std::uint64_t{0});
    for (const std::string& address : selected_)
    {
        const relay_info& it = candidates_.at(address).info;
        // The hash gives each target its own order of the relays, so that the
        // loss of one moves only its own targets.
        auto rank = std::pair(it.data_centre == data_centre,
            hash_64(target.get() + '@' + address));
        if (!best || rank > best_rank)
        {
            best = &it;
            best_rank = rank;
        }
    }
    return best;
}

} // namespace cowslippass
