#pragma once

#include "systems/configuration/fleet_config.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cowslippass
{

/// The configuration of all published queues, and of those that were removed
/// while they have jobs: these jobs continue as before. What the jobs need is
/// to be stored, so that the next coordinator knows it too.
class queue_registry
{
public:
    /// A record of a queue to store, or to delete if it has no value.
    struct record_change
    {
        queue_id queue;
        std::optional<std::string> value;
    };

    /// Restores a queue from its stored record.
    /// @throws systems_error (`bad_queue`) if the record is malformed.
    void load(const queue_id& queue, const std::string& record);

    /// Replaces the published queues. Others keep their last configuration.
    void set_published(const std::map<queue_id, queue_config>& queues);

    /// Counts a job of the queue that has not ended.
    void add_job(const queue_id& queue);
    /// A job that add_job() counted has ended.
    void remove_job(const queue_id& queue);

    /// @return null for a queue that is neither published nor has jobs whose
    ///   coordinators knew it.
    const queue_config* find(const queue_id& queue) const;

    /// Forgets removed queues without jobs.
    /// @return the changes of stored records since the last call. A job's rows
    ///   have to be stored after them.
    std::vector<record_change> take_record_changes();

private:
    struct entry
    {
        std::optional<queue_config> config; ///< Not set while it is unknown.
        bool is_published = false;
        std::uint64_t job_count = 0;
        std::string stored_record; ///< Empty if none is stored.
    };

    std::map<queue_id, entry> entries_;
    std::set<queue_id> changed_queues_;
};

} // namespace cowslippass
