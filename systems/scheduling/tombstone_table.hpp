#pragma once

#include "core/core.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippass
{

struct tombstone_options
{
    /// A submission that was sent before its cancellation arrives within this
    /// time, or never.
    milliseconds retention{150'000};
    /// Bounds on the number of tombstones, so that cancellations of arbitrary
    /// ids take bounded memory and leave room for other teams.
    std::size_t max_count = 20'000;
    std::size_t max_count_per_team = 4'000;
};

/// Tombstones: ids of jobs that were cancelled while no job had them. A
/// submission of such an id may have been sent before the cancellation, so it
/// is not accepted any more.
class tombstone_table
{
public:
    explicit tombstone_table(tombstone_options options = {});

    /// Adds a tombstone, or extends the retention of an existing one.
    /// @param team team of the caller that cancelled the job.
    /// @return false if there are too many, so that none was added.
    bool add(const job_id& id, const team_id& team, boot_time now);

    /// Adds a stored tombstone, whatever the bounds.
    void restore(const job_id& id, const team_id& team, boot_time now);

    bool contains(const job_id& id) const { return entries_.contains(id); }
    std::size_t get_count() const { return entries_.size(); }

    /// @return when the caller of a cancellation that was not recorded should
    ///   repeat it: when the first tombstone expires, at least a second later.
    milliseconds get_retry_delay(boot_time now) const;

    /// Removes the tombstones whose retention time has passed.
    /// @return their ids.
    std::vector<job_id> take_expired(boot_time now);

private:
    struct entry
    {
        team_id team;
        boot_time expires_at{};
    };

    tombstone_options options_;
    std::map<job_id, entry> entries_;
    /// By the first retention time; an extended one is looked up when it ends.
    std::multimap<boot_time, job_id> expiries_;
    std::map<team_id, std::size_t> team_counts_;
};

/// @return JSON text of a tombstone's row.
std::string encode_tombstone(const team_id& team);

/// @return the team; nothing if the text is not that of a tombstone.
std::optional<team_id> decode_tombstone(std::string_view text);

} // namespace cowslippass
