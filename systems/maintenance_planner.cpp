#include "systems/maintenance_planner.hpp"

#include "systems/maintenance_view.hpp"
#include "systems/spare_exchange.hpp"

#include <algorithm>
#include <tuple>

namespace cowslippass
{

namespace
{

/// Members of one pool that share a rack of the active data centre.
struct rack_view
{
    std::vector<member_view*> startable;
    bool is_open = false; ///< Maintenance is under way in the rack.
};

/// One run of the planner over its tables.
class planning
{
public:
    planning(const maintenance_input& input, const maintenance_options& options)
        : options_(options), view_(input), exchange_(view_, out_)
    {
    }

    std::vector<maintenance_decision> run()
    {
        note_active();
        finish_steps();
        exchange_.start_drains();
        start_waves();
        return std::move(out_);
    }

private:
    bool is_per_pool() const
    {
        return options_.scope == maintenance_scope::pool;
    }

    active_data_centre& get_active(pool_view& pool)
    {
        return is_per_pool() ? active_by_pool_[&pool] : active_;
    }

    /// Finds the data centres with maintenance under way.
    void note_active()
    {
        maintenance_counts all;
        std::map<pool_view*, maintenance_counts> by_pool;
        for (const member_view& it : view_.get_members())
            if (it.is_in_maintenance())
                (is_per_pool() ? by_pool[it.pool] : all).add(it);
        active_ = all.find_most(active_);
        for (auto& [id, pool] : view_.get_pools())
            if (is_per_pool())
                active_by_pool_[&pool] =
                    by_pool[&pool].find_most(active_by_pool_[&pool]);
    }

    void finish_steps()
    {
        for (member_view& it : view_.get_members())
        {
            bool is_ready = it.report == instance_report::ready;
            if (it.state == instance_state::rebooting && is_ready)
                restore(it, "pass_done",
                    std::max(it.row->maintained_pass, view_.get_pass()));
            else if (it.state == instance_state::failed && is_ready)
                restore(it, "recovered", {});
            else if (it.is_planned_drain() && !it.is_decided)
                continue_drain(it);
        }
    }

    void continue_drain(member_view& it)
    {
        bool is_idle = it.report == instance_report::idle;
        if (is_idle && exchange_.try_replace_lost(it))
            return;
        bool is_up = is_idle || it.report == instance_report::busy;
        if (is_up && it.pool->needs_back(it))
            return restore(it, "budget_exceeded", {});
        if (is_idle)
            finish_drain(it);
    }

    void finish_drain(member_view& it)
    {
        // A drain for an exchange may have been overtaken; a reboot outside
        // the active data centre would open a second one.
        const auto& active = get_active(*it.pool);
        bool is_in_wave = !active || *active == it.get_data_centre();
        bool is_requested = !it.is_due && it.is_reboot_wanted();
        if (!is_requested && (!it.is_due || !is_in_wave))
            return restore(it, "drain_not_needed", {});
        out_.push_back(make_decision(it, maintenance_step::reboot,
            is_requested ? "operator_request" : "pass_due"));
        view_.set_state(it, instance_state::rebooting);
    }

    void restore(member_view& it, std::string_view rule,
        std::optional<std::uint32_t> maintained_pass)
    {
        out_.push_back(make_decision(
            it, maintenance_step::restore, rule, maintained_pass));
        view_.set_state(it, instance_state::in_service);
        it.is_due = it.is_due && !maintained_pass;
    }

    std::uint32_t get_limit(const pool_view& pool) const
    {
        std::uint32_t budget = pool.get_budget();
        std::uint32_t one_in = options_.reserve_one_in;
        // An instance must be left to maintain, even with one_in = 1.
        return one_in == 0 || budget == 0
                   ? budget
                   : std::max(1U, budget - budget / one_in);
    }

    /// Spares the search through the members of most pools.
    bool may_start(const pool_view& pool) const
    {
        return pool.missed_passes > 0 && pool.not_in_service < get_limit(pool);
    }

    bool is_startable(const pool_view& pool, const member_view& it) const
    {
        return it.is_due && !it.is_decided &&
               it.state == instance_state::in_service &&
               pool.can_take_out(it, get_limit(pool));
    }

    /// Chooses a data centre out of service with work to do, else that of the
    /// latest pool.
    class data_centre_choice
    {
    public:
        explicit data_centre_choice(const planning& plan) : plan_(plan) {}

        void add(const pool_view& pool)
        {
            if (!plan_.may_start(pool))
                return;
            double lateness = pool.get_lateness();
            for (const member_view* it : pool.members)
            {
                std::tuple<bool, double> rank{it->is_data_centre_out, lateness};
                if (rank <= best_rank_ || !plan_.is_startable(pool, *it))
                    continue;
                best_ = it->get_data_centre();
                best_rank_ = rank;
            }
        }

        const active_data_centre& get() const { return best_; }

    private:
        const planning& plan_;
        active_data_centre best_;
        std::tuple<bool, double> best_rank_{false, -1.0};
    };

    void start_waves()
    {
        note_active();
        data_centre_choice fleet_choice(*this);
        std::vector<pool_view*> pools;
        for (auto& [id, pool] : view_.get_pools())
        {
            pools.push_back(&pool);
            fleet_choice.add(pool);
        }
        if (!active_)
            active_ = fleet_choice.get();
        std::ranges::stable_sort(pools, std::greater<>(),
            [](const pool_view* it) { return it->get_lateness(); });
        for (pool_view* it : pools)
            start_wave(*it);
    }

    void choose_for_pool(pool_view& pool)
    {
        active_data_centre& active = get_active(pool);
        if (active)
            return;
        data_centre_choice choice(*this);
        choice.add(pool);
        active = choice.get();
    }

    void start_wave(pool_view& pool)
    {
        if (!may_start(pool))
            return;
        choose_for_pool(pool);
        const active_data_centre& active = get_active(pool);
        if (!active)
            return;
        std::map<rack_id, rack_view> racks;
        for (member_view* it : pool.members)
        {
            if (it->get_data_centre() != *active)
                continue;
            rack_view& rack = racks[it->row->description.rack];
            rack.is_open = rack.is_open || it->is_in_maintenance();
            if (is_startable(pool, *it))
                rack.startable.push_back(it);
        }
        for (bool is_open : {true, false})
            for (auto& [id, rack] : racks)
                if (rack.is_open == is_open)
                    start_rack(pool, rack);
    }

    void start_rack(pool_view& pool, rack_view& rack)
    {
        for (member_view* it : rack.startable)
        {
            if (drains_ == options_.max_drains || !is_startable(pool, *it))
                return;
            out_.push_back(make_decision(*it, maintenance_step::drain,
                rack.is_open ? "rack_under_way" : "next_rack"));
            view_.set_state(*it, instance_state::draining);
            ++drains_;
        }
    }

    const maintenance_options& options_;
    maintenance_view view_;
    std::vector<maintenance_decision> out_;
    spare_exchange exchange_;
    active_data_centre active_; ///< Of the fleet.
    std::map<pool_view*, active_data_centre> active_by_pool_;
    std::uint32_t drains_ = 0;
};

} // namespace

maintenance_planner::maintenance_planner(maintenance_options options)
    : options_(options)
{
}

std::vector<maintenance_decision> maintenance_planner::plan(
    const maintenance_input& input) const
{
    if (!input.is_fresh)
        return {};
    return planning(input, options_).run();
}

} // namespace cowslippass
