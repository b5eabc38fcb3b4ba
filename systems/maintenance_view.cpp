#include "systems/maintenance_view.hpp"

#include <algorithm>

namespace cowslippass
{

namespace
{

instance_state get_state_after(maintenance_step step)
{
    if (step == maintenance_step::drain)
        return instance_state::draining;
    if (step == maintenance_step::reboot)
        return instance_state::rebooting;
    return instance_state::in_service;
}

/// @return 1 when the member counts as unavailable.
std::uint32_t count_unavailable(const member_view& member)
{
    return member.is_data_centre_out ||
                   member.state != instance_state::in_service
               ? 1
               : 0;
}

std::uint32_t count_not_in_service(const member_view& member)
{
    return member.state != instance_state::in_service ? 1 : 0;
}

void add_counts(pool_view& pool, const member_view& member)
{
    pool.unavailable += count_unavailable(member);
    pool.not_in_service += count_not_in_service(member);
}

void remove_counts(pool_view& pool, const member_view& member)
{
    pool.unavailable -= count_unavailable(member);
    pool.not_in_service -= count_not_in_service(member);
}

} // namespace

std::uint32_t get_maintenance_pass(std::chrono::sys_seconds now)
{
    return static_cast<std::uint32_t>(
        now.time_since_epoch() / maintenance_period);
}

bool member_view::is_reboot_wanted() const
{
    return is_due || !pool->is_spare();
}

std::uint32_t pool_view::get_excess() const
{
    return unavailable > get_budget() ? unavailable - get_budget() : 0;
}

bool pool_view::needs_back(const member_view& member) const
{
    return (member.is_data_centre_out ? not_in_service : unavailable) >
           get_budget();
}

bool pool_view::can_take_out(
    const member_view& member, std::uint32_t limit) const
{
    return (member.is_data_centre_out ? not_in_service : unavailable) < limit;
}

double pool_view::get_lateness() const
{
    return members.empty() ? 0.0
                           : static_cast<double>(missed_passes) /
                                 static_cast<double>(members.size());
}

maintenance_view::maintenance_view(const maintenance_input& input)
    : pass_(get_maintenance_pass(input.now))
{
    for (const auto& [id, record] : input.state.get_pools())
        pools_[id].record = &record;
    std::map<data_centre_id, bool> is_out;
    for (const auto& [id, record] : input.state.get_data_centres())
        is_out[id] = !record.is_in_service;
    const auto& all = input.state.get_instances();
    // Pools point to members, so that the table must not be reallocated.
    members_.reserve(all.size());
    for (const auto& [id, row] : all)
    {
        auto report = input.reports.find(id);
        auto out = is_out.find(row.description.data_centre);
        add_member(id, row,
            report == input.reports.end() ? instance_report::unknown
                                          : report->second,
            out == is_out.end() || out->second);
    }
}

void maintenance_view::add_member(const instance_id& id,
    const instance_row& row, instance_report report, bool is_data_centre_out)
{
    pool_view& pool = find_pool(row.pool);
    member_view& member = members_.emplace_back(member_view{&id, &row, &pool,
        report, row.state, row.maintained_pass < pass_, is_data_centre_out});
    pool.members.push_back(&member);
    add_counts(pool, member);
    // A pass count of 0 means never maintained, which is one missed pass.
    if (member.is_due)
        pool.missed_passes +=
            row.maintained_pass == 0 ? 1 : pass_ - row.maintained_pass;
}

pool_view& maintenance_view::find_pool(const pool_id& id)
{
    auto it = pools_.find(id);
    return it == pools_.end() ? no_pool_ : it->second;
}

void maintenance_view::set_state(member_view& member, instance_state state)
{
    pool_view& pool = *member.pool;
    remove_counts(pool, member);
    member.state = state;
    member.is_decided = true;
    add_counts(pool, member);
}

void maintenance_view::exchange(member_view& drained, member_view& lost)
{
    pool_view& spare = *drained.pool;
    pool_view& pool = *lost.pool;
    remove_counts(spare, drained);
    remove_counts(pool, lost);
    drained.state = instance_state::in_service;
    add_counts(pool, drained);
    add_counts(spare, lost);

    // Both leave the tables of this plan, as nothing more may be decided
    // about them before the exchange is committed.
    std::erase(spare.members, &drained);
    std::erase(pool.members, &lost);
}

void maintenance_counts::add(const member_view& member)
{
    if (member.is_in_maintenance())
        ++counts_[member.get_data_centre()];
}

active_data_centre maintenance_counts::find_most(
    const active_data_centre& former) const
{
    if (former && counts_.contains(*former))
        return former;
    auto most = std::ranges::max_element(
        counts_, {}, [](const auto& it) { return it.second; });
    if (most == counts_.end())
        return std::nullopt;
    return most->first;
}

maintenance_decision make_decision(const member_view& member,
    maintenance_step step, std::string_view rule,
    std::optional<std::uint32_t> maintained_pass)
{
    bool is_for_maintenance = step != maintenance_step::restore;
    return {*member.id, member.row->pool, step, rule,
        {instance_state_record{*member.id, get_state_after(step),
            maintained_pass, is_for_maintenance}}};
}

} // namespace cowslippass
