#pragma once

#include "drivers/platform_client.hpp"
#include "systems/retention.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

struct retention_limits
{
    milliseconds request_lifetime;
    milliseconds command_lifetime;
    std::size_t writes_per_step; ///< Row writes and deleted objects.
};

/// Removes rows that have outlived their use, a few in each step. A step that
/// is cut short, or two cleaners at once, leave only whole rows behind or rows
/// that a later pass removes.
class row_cleaner
{
public:
    /// @return the condition that the remover of rows must carry, or nothing
    ///   when it may not remove any.
    using fence = std::function<std::optional<row_condition>()>;

    row_cleaner(platform_store& table, retention_limits limits, fence fence,
        retention_rule::session_check is_gone);

    /// Looks at one page of each kind of rows.
    /// @return the number of rows removed.
    asio::awaitable<std::size_t> step();

private:
    struct row_kind
    {
        const char* prefix;
        milliseconds retention_limits::*lifetime;
        retention_decision (retention_rule::*judge)(const row& it) const;
    };
    struct pass
    {
        const row_kind* kind;
        std::string after; ///< Key of the row looked at last.
        monotonic_time next_start;
    };
    static const std::vector<row_kind>& get_kinds();

    /// @param left writes that the step may still make; lowered.
    asio::awaitable<std::size_t> clean_page(pass& it, std::size_t& left);
    asio::awaitable<bool> delete_objects(const retention_decision& decision);
    retention_decision judge(const row_kind& kind, const row& it) const;

    platform_store& table_;
    retention_limits limits_;
    fence fence_;
    retention_rule::session_check is_gone_;
    std::vector<pass> passes_;
};

} // namespace cowslippass
