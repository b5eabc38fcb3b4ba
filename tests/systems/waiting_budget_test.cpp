#include "systems/waiting_budget.hpp"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace cowslippass
{

namespace
{

constexpr std::uint64_t max_bytes = 20'000;

/// Reference model: the waiting tasks and their sizes.
struct waiting_model
{
    struct item
    {
        team_id team;
        std::uint64_t bytes = 0;
        bool is_durable = false;
    };

    std::uint64_t sum(const team_id& team) const
    {
        std::uint64_t out = 0;
        for (const auto& [id, it] : items)
            out += it.team == team ? it.bytes : 0;
        return out;
    }

    std::uint64_t count_teams(const team_id& with) const
    {
        std::set<team_id> out{with};
        for (const auto& [id, it] : items)
            out.insert(it.team);
        return out.size();
    }

    std::map<task_id, item> items;
};

/// Adds a task to both and checks that the refusal or the evictions are right.
void check_add(waiting_budget& budget, waiting_model& model, const task_id& id,
    const waiting_model::item& added)
{
    std::uint64_t before = budget.get_bytes().get();
    std::uint64_t part = max_bytes / model.count_teams(added.team);
    bool is_within_part = model.sum(added.team) + added.bytes <= part;
    byte_count payload(added.bytes - waiting_budget::task_overhead_bytes);
    auto victims = budget.add(id, added.team, payload, added.is_durable);
    bool has_room = before + added.bytes <= max_bytes || before == 0;
    RC_ASSERT(victims.has_value() == (has_room || is_within_part));
    if (!victims)
        return;
    RC_ASSERT(victims->empty() || !has_room);
    for (const auto& it : *victims)
    {
        auto victim = model.items.at(it);
        RC_ASSERT(victim.team != added.team);
        RC_ASSERT(model.sum(victim.team) > part);
        for (const auto& [other, row] : model.items)
            if (row.team == victim.team && row.is_durable)
                RC_ASSERT(victim.is_durable);
        model.items.erase(it);
    }
    model.items[id] = added;
    RC_ASSERT(budget.get_bytes().get() <= std::max(max_bytes, added.bytes));
}

} // namespace

// Guards against waiting tasks that exhaust the memory of the entry, and
// against a team whose waiting tasks keep those of other teams out.
RC_GTEST_PROP(waiting_budget,
    stays_within_the_bound_and_refuses_only_above_the_equal_part, ())
{
    waiting_budget budget{byte_count(max_bytes)};
    waiting_model model;
    auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        rc::gen::inRange<std::uint32_t>(0, 1U << 20));
    for (std::uint32_t step : steps)
    {
        task_id id(std::to_string(step % 64));
        budget.remove(id);
        model.items.erase(id);
        if ((step >> 6) % 4 == 0)
            continue;
        // Most tasks belong to the first team.
        std::uint32_t team = (step >> 8) % 16;
        check_add(budget, model, id,
            {team_id(std::to_string(team < 10 ? 0 : team)),
                waiting_budget::task_overhead_bytes + (step >> 12) * 16,
                (step >> 11) % 2 == 0});
        std::uint64_t sum = 0;
        for (const auto& [task, it] : model.items)
            sum += it.bytes;
        RC_ASSERT(budget.get_bytes().get() == sum);
    }
}

} // namespace cowslippass
