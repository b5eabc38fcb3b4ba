#pragma once

#include "systems/workload/job_spec.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// An entry that can send requests to targets for the coordinator.
struct relay_info
{
    entry_id entry;
    std::string address; ///< IP:port at which peers reach it.
    data_centre_id data_centre;
    /// In thousandths of a core.
    std::uint32_t processor_share = 0;
};

struct relay_options
{
    /// With fewer targets the coordinator sends all requests itself.
    std::size_t min_targets = 100;
    /// Number of targets for each relay.
    std::size_t targets_per_relay = 36;
    /// An entry that has not been in contact for this long is not used.
    milliseconds max_contact_age{1'500};
    /// An entry that failed as a relay is not used for this long.
    milliseconds loss_back_off{3'000};
};

/// Spreads the requests to a large fleet over entries that have processor time
/// to spare. It selects relays in each data centre, those with the largest
/// processor shares, and assigns each target to one of them. A relay keeps its
/// targets while it can be used, so that connections stay open.
class relay_table
{
public:
    explicit relay_table(relay_options options);

    /// Records that an entry was in contact with the coordinator and can be
    /// used.
    void record_contact(const relay_info& relay, boot_time now);

    /// Records that an entry failed as a relay.
    void record_loss(const std::string& address, boot_time now);

    /// Removes an entry that is about to stop.
    void remove(const std::string& address);

    /// Selects the relays.
    /// @param targets number of targets in each data centre.
    void select(
        const std::map<data_centre_id, std::size_t>& targets, boot_time now);

    /// @return the relay of a target, in the target's data centre if there is
    ///   one; null if the coordinator sends the requests itself.
    const relay_info* choose(
        const target_id& target, const data_centre_id& data_centre) const;

    bool is_selected(const std::string& address) const
    {
        return selected_.contains(address);
    }
    std::vector<relay_info> list_selected() const;

private:
    struct candidate
    {
        relay_info info;
        boot_time last_contact{};
        boot_time usable_from{}; ///< After a failure.
    };

    bool is_usable(const candidate& it, boot_time now) const;

    relay_options options_;
    std::map<std::string, candidate> candidates_; ///< By address.
    std::set<std::string> selected_;              ///< Addresses.
};

} // namespace cowslippass
