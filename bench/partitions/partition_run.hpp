#pragma once

#include "tests/integration/fault_load.hpp"

#include <array>
#include <string>
#include <vector>

namespace cowslippass
{

/// A cut of the second of two data centres.
struct cut_kind
{
    const char* name;
    bool is_cut_from_platform;
    bool is_cut_from_peers;
    cut_direction direction;
};

struct policy_kind
{
    const char* name;
    const char* daemon; ///< Program relative to the build directory.
    std::vector<std::string> flags;
};

/// Tasks that ended in a second.
struct work_rates
{
    double before = 0;
    double during = 0; ///< From the bound on late starts until the heal.
    double after = 0;
    double elsewhere = 0; ///< In the other data centre, during the cut.
    /// Seconds from the heal until the rate was back; -1 when it was not.
    double back_after = -1;
};

enum class work_kind
{
    urgent,
    once, ///< Urgent and non-idempotent.
    slow,
    end ///< Number of kinds.
};

constexpr std::size_t work_kinds = static_cast<std::size_t>(work_kind::end);

/// @return the name for tables.
std::string get_name(work_kind kind);

struct partition_result
{
    std::array<work_rates, work_kinds> work;
    /// Starts with a withdrawn key after the bound, and the latest of them
    /// in seconds after it.
    std::size_t late_starts = 0;
    double latest_start = 0;
};

/// Starts a cluster with the policy, cuts its second data centre off, heals
/// the cut and counts the work that ended.
partition_result run_partition(
    const cut_kind& cut, const policy_kind& policy, unsigned seed);

} // namespace cowslippass
