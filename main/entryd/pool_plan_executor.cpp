#include "main/entryd/pool_plan_executor.hpp"

#include "drivers/log.hpp"
#include "drivers/metrics.hpp"
#include "drivers/task_supervisor.hpp"
#include "main/entryd/wall_clock.hpp"

namespace cowslippass
{

namespace
{

constexpr milliseconds planning_interval{100};
/// Time between reads of the instance list, which shows the target of each
/// instance.
constexpr milliseconds list_interval{400};
constexpr milliseconds list_timeout{1'000};
constexpr milliseconds order_timeout{1'500};
/// Time between the log lines on how many instances each pool has and needs.
constexpr milliseconds sizing_log_interval{1'000};
constexpr milliseconds status_timeout{1'000};

const decision_log decisions_log("pools");

double to_cores(std::int64_t millicores)
{
    return static_cast<double>(millicores) / 1'000.0;
}

pool_planner_options make_options(const entry_settings& settings)
{
    pool_planner_options out;
    out.move_time = settings.move_time;
    out.maintenance_time = settings.maintenance_time;
    out.packs_by_shape = settings.pack_by_shape;
    // The rest of the platform's limit is reserved for a successor's first
    // orders.
    out.orders_per_second = settings.instance_orders_per_s * 0.8;
    return out;
}

} // namespace

pool_plan_executor::pool_plan_executor(asio::io_context& io,
    const entry_settings& settings, store_client& store,
    metrics_registry& metrics, const task_supervisor& tasks, term owner)
    : io_(io), store_(store), metrics_(metrics), tasks_(tasks),
      term_(std::move(owner)), store_row_bytes_(settings.store_row_bytes),
      client_(io, settings.machines, settings.entry.get()),
      planner_(make_options(settings))
{
}

void pool_plan_executor::load(const std::vector<stored_row>& rows)
{
    boot_time now = boot_clock::now();
    std::map<std::uint64_t, wave_progress> waves;
    for (const stored_row& it : rows)
    {
        try
        {
            wave_row_key key = decode_wave_row_key(it.key);
            wave_progress part =
                decode_wave_progress(it.value, now, get_wall_time());
            saved_waves_[key] = part;
            merge_wave_progress(waves[key.wave], std::move(part));
        }
        catch (const systems_error& e)
        {
            write_log(log_level::error, "pools",
                "cannot decode the row of a wave",
                {{"key", it.key}, {"why", e.what()}});
        }
    }
    for (const auto& [number, progress] : waves)
        planner_.restore_wave(number, progress, now);
    // Before the first list of instances, tasks may start.
    planner_.cordon_ordered_targets(term_.term_coordinator, now);
}

void pool_plan_executor::save_wave(const maintenance_wave& wave)
{
    auto progress = planner_.get_wave_progress(wave.number);
    if (!progress)
        return;
    std::uint32_t part_count =
        count_wave_parts(wave.instances.size(), store_row_bytes_);
    auto parts = split_wave_progress(*progress, part_count);
    // A part whose instances have no orders any more.
    for (const auto& [key, saved] : saved_waves_)
        if (key.wave == wave.number && !parts.contains(key.part))
            parts[key.part].first_seen = progress->first_seen;
    for (auto& [number, part] : parts)
    {
        wave_row_key key{wave.number, number};
        auto saved = saved_waves_.find(key);
        if (saved != saved_waves_.end() && saved->second == part)
            continue;
        term_.term_ledger.put(ledger_table::waves, encode_wave_row_key(key),
            encode_wave_progress(part, boot_clock::now(), get_wall_time()));
        saved_waves_[key] = std::move(part);
    }
}

asio::awaitable<void> pool_plan_executor::list_instances()
{
    auto self = shared_from_this();
    is_listing_ = true;
    boot_time sent = boot_clock::now();
    auto list = co_await client_.list(list_timeout);
    is_listing_ = false;
    if (!list || term_.is_over())
        co_return;
    planner_.set_instances(std::move(*list), sent);
    boot_time now = boot_clock::now();
    for (const target_id& it :
        planner_.find_ended_incarnations(term_.term_coordinator, now))
    {
        auto target = term_.term_coordinator.get_targets().find(it);
        if (!target->second.runs.empty())
            decisions_log.write("end_runs", "instance_has_another_life",
                {{"target", it}, {"runs", target->second.runs.size()},
                    {"list_age_ms",
                        std::chrono::duration_cast<milliseconds>(now - sent)
                            .count()}});
        term_.term_coordinator.handle_incarnation_end(it, sent, now);
    }
    term_.wake();
}

asio::awaitable<void> pool_plan_executor::send(instance_order order)
{
    auto self = shared_from_this();
    instance_order_outcome outcome = instance_order_outcome::no_answer;
    if (order.is_maintenance())
        outcome = co_await client_.maintain(
            order.instance, order.wave, term_.number, order_timeout);
    else
        outcome = co_await client_.move(
            order.instance, order.pool, term_.number, order_timeout);
    --orders_in_flight_;
    pending_instances_.erase(order.instance);
    if (term_.is_over())
        co_return;
    metrics_.add("cowslippass_instance_orders_total",
        {{"order", order.is_maintenance() ? "maintain" : "move"},
            {"outcome", to_string(outcome)}});
    decisions_log.write(order.is_maintenance() ? "maintain" : "move",
        to_string(outcome),
        {{"instance", order.instance}, {"pool", order.pool},
            {"wave", order.wave}, {"term", term_.number}});
    planner_.handle_order_reply(
        order, outcome, term_.term_coordinator, boot_clock::now());
    update_waves();
    send_waiting_orders();
    term_.wake();
}

void pool_plan_executor::send_waiting_orders()
{
    auto self = shared_from_this();
    while (!waiting_orders_.empty() &&
           orders_in_flight_ < instance_client::max_concurrent_orders)
    {
        instance_order order = std::move(waiting_orders_.front());
        waiting_orders_.pop_front();
        if (!term_.may_send_orders())
        {
            pending_instances_.erase(order.instance);
            planner_.handle_order_reply(order, instance_order_outcome::refused,
                term_.term_coordinator, boot_clock::now());
            continue;
        }
        ++orders_in_flight_;
        // It is not known whether an order that failed was sent.
        tasks_.run_once(
            "instance_order", [self, order] { return self->send(order); },
            [self, order]
            {
                --self->orders_in_flight_;
                self->pending_instances_.erase(order.instance);
            });
    }
}

void pool_plan_executor::queue_order(const instance_order& order)
{
    waiting_orders_.push_back(order);
    send_waiting_orders();
}

asio::awaitable<void> pool_plan_executor::write_wave_status(
    std::uint64_t wave, bool is_completed)
{
    auto self = shared_from_this();
    bool is_written = co_await store_.put_row(published_table::status,
        get_wave_status_key(wave), encode_wave_status(is_completed),
        status_timeout);
    if (!is_written)
        written_statuses_.erase(wave);
}

void pool_plan_executor::update_waves()
{
    for (const auto& [number, wave] :
        term_.term_coordinator.get_published_state().waves)
    {
        save_wave(wave);
        bool is_completed = planner_.is_wave_completed(wave);
        auto written = written_statuses_.find(number);
        if (written != written_statuses_.end() &&
            written->second == is_completed)
            continue;
        written_statuses_[number] = is_completed;
        auto self = shared_from_this();
        tasks_.run_once(
            "wave_status",
            [self, number = number, is_completed]
            { return self->write_wave_status(number, is_completed); },
            [self, number = number] { self->written_statuses_.erase(number); });
    }
}

void pool_plan_executor::log_pool_sizings()
{
    const auto& usages = planner_.get_pool_usages();
    for (const auto& [pool, it] : planner_.get_pool_sizings())
    {
        auto found = usages.find(pool);
        pool_usage usage = found == usages.end() ? pool_usage{} : found->second;
        decisions_log.write("balance", "demand",
            {{"pool", pool}, {"present", it.available_instances},
                {"needed", it.required_instances},
                {"retained", it.retained_instances},
                {"drained", it.drained_instances},
                {"used_cores", it.used_cores},
                {"waiting_cores", it.waiting_cores},
                {"offered_cores", it.offered_cores}, {"spread", it.spread},
                {"worked", to_cores(usage.worked)},
                {"lasting", to_cores(usage.lasting)},
                {"stranded", to_cores(usage.stranded)},
                {"beside", to_cores(usage.beside)},
                {"idle", to_cores(usage.idle)},
                {"closed", to_cores(usage.closed)},
                {"lasting_targets", usage.lasting_targets}});
    }
}

void pool_plan_executor::decide()
{
    boot_time now = boot_clock::now();
    auto self = shared_from_this();
    if (now >= next_list_at_ && !is_listing_)
    {
        next_list_at_ = now + list_interval;
        tasks_.run_once(
            "instance_list", [self] { return self->list_instances(); },
            [self] { self->is_listing_ = false; });
    }
    if (!term_.may_send_orders())
        return;
    pool_decisions out = planner_.plan(term_.term_coordinator, now);
    if (now >= next_report_at_)
    {
        next_report_at_ = now + sizing_log_interval;
        log_pool_sizings();
    }
    for (const drain_change& it : out.drain_changes)
        decisions_log.write("drain", to_string(it.event),
            {{"instance", it.instance}, {"target", it.drain.target},
                {"wave", it.drain.wave}, {"runs", it.run_count}});
    update_waves();
    for (const instance_order& it : out.orders)
    {
        if (!pending_instances_.insert(it.instance).second)
            continue;
        // A successor has to count an instance that may go into maintenance.
        if (it.is_maintenance())
            term_.term_ledger.when_durable(
                [self, it] { self->queue_order(it); });
        else
            queue_order(it);
    }
    if (!out.tasks_to_stop.empty())
        term_.wake();
}

asio::awaitable<void> pool_plan_executor::run()
{
    auto self = shared_from_this();
    asio::steady_timer timer(io_);
    while (!term_.is_over())
    {
        decide();
        timer.expires_after(planning_interval);
        boost::system::error_code ec;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace cowslippass
