#include "main/row_cleaner.hpp"

#include "drivers/log.hpp"
#include "systems/fleet_log.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

/// About 30 KB, so that a long pass takes that much a second.
constexpr std::size_t rows_per_page = 100;
/// Between the end of a pass and the next one.
constexpr milliseconds pass_interval{5'000};

} // namespace

const std::vector<row_cleaner::row_kind>& row_cleaner::get_kinds()
{
    static const std::vector<row_kind> kinds{
        {"claims/", &retention_limits::request_lifetime,
            &retention_rule::judge_claim},
        {"ended/", &retention_limits::request_lifetime,
            &retention_rule::judge_ended_job},
        {fleet_command_prefix, &retention_limits::command_lifetime,
            &retention_rule::judge_command},
    };
    return kinds;
}

row_cleaner::row_cleaner(platform_store& table, retention_limits limits,
    fence fence, retention_rule::session_check is_gone)
    : table_(table), limits_(limits), fence_(std::move(fence)),
      is_gone_(std::move(is_gone))
{
    for (const row_kind& it : get_kinds())
        passes_.push_back({&it, "", monotonic_time::min()});
}

asio::awaitable<std::size_t> row_cleaner::step()
{
    std::size_t left = limits_.writes_per_step;
    std::size_t removed = 0;
    for (pass& it : passes_)
    {
        bool is_due = std::chrono::steady_clock::now() >= it.next_start;
        if (is_due && left > 0)
            removed += co_await clean_page(it, left);
    }
    // Another kind comes first next time, so that none waits for ever.
    std::rotate(passes_.begin(), passes_.begin() + 1, passes_.end());
    co_return removed;
}

retention_decision row_cleaner::judge(const row_kind& kind, const row& it) const
try
{
    retention_rule rule(limits_.*kind.lifetime, table_.get_time(), is_gone_);
    return (rule.*kind.judge)(it);
}
catch (const systems_error& e)
{
    write_log(log_level::warn, "row_cleaner", "a malformed row is kept",
        {{"key", it.key}, {"reason", std::string(e.what())}});
    return {};
}

asio::awaitable<bool> row_cleaner::delete_objects(
    const retention_decision& decision)
{
    if (decision.verdict == retention_verdict::remove_if_stored)
    {
        // An answer that does not come counts as absent: the row stays.
        auto found = co_await table_.get_object(decision.proof);
        if (!found)
            co_return false;
    }
    for (const std::string& name : decision.objects)
    {
        bool is_deleted = co_await table_.delete_object(name);
        if (!is_deleted)
            co_return false;
    }
    co_return true;
}

asio::awaitable<std::size_t> row_cleaner::clean_page(
    pass& it, std::size_t& left)
{
    auto page = co_await table_.scan(it.kind->prefix, it.after, rows_per_page);
    if (!page)
        co_return 0;
    transaction tx;
    bool is_cut = false;
    for (const row& found : page->rows)
    {
        retention_decision decision = judge(*it.kind, found);
        if (decision.verdict != retention_verdict::keep)
        {
            auto condition = fence_();
            std::size_t cost = 1 + decision.objects.size();
            // A row that exceeds the whole allowance is taken alone.
            bool is_alone = left == limits_.writes_per_step;
            is_cut = !condition || (cost > left && !is_alone);
            if (is_cut)
                break;
            // Objects go first: a row without them is removed by a later
            // pass, objects without a row would stay for ever.
            bool is_ready = co_await delete_objects(decision);
            if (is_ready)
            {
                left -= std::min(left, cost);
                tx.conditions.push_back({found.key, found.version});
                tx.writes.push_back({found.key, std::nullopt});
            }
        }
        it.after = found.key;
    }
    if (!is_cut && !page->has_more)
    {
        it.after.clear();
        it.next_start = std::chrono::steady_clock::now() + pass_interval;
    }
    auto condition = fence_();
    if (tx.writes.empty() || !condition)
        co_return 0;
    std::size_t n = tx.writes.size();
    tx.conditions.push_back(*condition);
    auto result = co_await table_.commit(std::move(tx));
    bool is_removed = result.outcome == transaction_outcome::committed;
    write_log(log_level::info, "row_cleaner", "old rows were removed",
        {{"prefix", std::string(it.kind->prefix)}, {"rows", n},
            {"done", is_removed}});
    co_return is_removed ? n : 0;
}

} // namespace cowslippass
