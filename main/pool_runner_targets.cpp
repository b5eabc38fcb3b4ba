#include "main/pool_runner.hpp"

#include <utility>

// The targets of a pool: their descriptions, health and silence.

namespace cowslippass
{

namespace
{

/// Longer than a restart of the target's process takes; a failed instance
/// counts against its pool's availability budget.
constexpr milliseconds failed_after{30'000};
constexpr std::size_t max_bad_work = 10'000;

} // namespace

void pool_runner::watch(const instance_id& target, const task_id& task)
{
    auto entry = targets_.find(target);
    if (entry != targets_.end())
        entry->second.link->add_task(task);
}

void pool_runner::unwatch(const instance_id& target, const task_id& task)
{
    auto entry = targets_.find(target);
    if (entry != targets_.end() && !active_.contains(task))
        entry->second.link->remove_task(task);
}

asio::awaitable<std::optional<target_task_report>> pool_runner::query_task(
    instance_id target, task_id task)
{
    auto entry = targets_.find(target);
    if (entry == targets_.end())
        co_return std::nullopt;
    std::shared_ptr<target_link> link = entry->second.link;
    co_return co_await link->get_client().get_state(std::move(task));
}

asio::awaitable<std::optional<std::string>> pool_runner::fetch_result(
    instance_id target, task_id task, request_id request)
{
    auto entry = targets_.find(target);
    if (entry == targets_.end())
        co_return std::nullopt;
    std::shared_ptr<target_link> link = entry->second.link;
    co_return co_await link->get_client().get_result(
        std::move(task), std::move(request));
}

bool pool_runner::is_usable(const instance_row& row) const
{
    return row.state == instance_state::in_service &&
           !leaving_.contains(row.description.id) &&
           node_.state.is_in_service(row.description.data_centre);
}

target_link::observer pool_runner::make_observer()
{
    std::weak_ptr<pool_runner> weak = shared_from_this();
    target_link::observer out;
    out.on_answer = [weak](const instance_id& it, const sync_result& answer)
    {
        if (auto self = weak.lock())
            self->handle_answer(it, answer);
    };
    out.on_silence = [weak](const instance_id& it, milliseconds silence)
    {
        if (auto self = weak.lock())
            self->handle_silence(it, silence);
    };
    out.on_task_ended = [weak](const task_id& it, target_task_state state)
    {
        if (auto self = weak.lock())
            self->handle_task_ended(it, state);
    };
    return out;
}

void pool_runner::update_targets()
{
    for (const auto& [id, team] : node_.state.get_teams())
        placement_.set_team(id, team.share);
    const auto& instances = node_.state.get_instances();
    for (const auto& [id, row] : instances)
    {
        if (row.pool != pool_ ||
            row.description.data_centre != node_.config.data_centre)
            continue;
        target_entry& entry = targets_[id];
        bool is_moved =
            entry.link &&
            format_endpoint(entry.link->get_client().get_endpoint()) !=
                row.description.address;
        if (is_moved)
        {
            entry.link->stop();
            entry.link.reset();
        }
        if (!entry.link)
        {
            entry.link = std::make_shared<target_link>(node_, id,
                parse_endpoint(row.description.address), make_observer());
            entry.link->start();
        }
        entry.description.id = id;
        health_.set_target(id);
        entry.description.data_centre = row.description.data_centre;
        entry.description.rack = row.description.rack;
        entry.description.slots = row.description.slots;
        entry.description.memory = row.description.memory;
        entry.description.epoch = row.epoch;
        entry.description.state = is_usable(row) ? instance_state::in_service
                                                 : instance_state::draining;
        update_description(entry);
    }
    for (auto it = targets_.begin(); it != targets_.end();)
    {
        auto row = instances.find(it->first);
        bool is_ours = row != instances.end() && row->second.pool == pool_;
        if (!is_ours)
        {
            placement_.remove_target(it->first);
            health_.remove_target(it->first);
        }
        // Tasks of the old pool are followed to their end.
        if (!is_ours && !it->second.link->has_tasks())
        {
            it->second.link->stop();
            it = targets_.erase(it);
        }
        else
            ++it;
    }
    kick();
}

void pool_runner::set_leaving(const std::set<instance_id>& leaving)
{
    if (leaving == leaving_)
        return;
    leaving_ = leaving;
    update_targets();
}

void pool_runner::update_description(target_entry& entry)
{
    // Nothing is placed on a target before its first answer tells which of
    // its slots are free.
    if (!entry.description.free_slots)
        return;
    entry.description.health = entry.is_answering
                                   ? health_.get_state(entry.description.id)
                                   : target_health_state::quarantined;
    placement_.set_target(entry.description);
}

std::uint32_t pool_runner::count_targets() const
{
    std::uint32_t n = 0;
    for (const auto& [id, it] : targets_)
        if (it.is_answering &&
            it.description.state == instance_state::in_service)
            ++n;
    return n;
}

void pool_runner::handle_answer(
    const instance_id& id, const sync_result& answer)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    it->second.is_answering = true;
    health_.on_answer(id, get_now());
    it->second.description.free_slots = slot_count(answer.free_slots);
    update_description(it->second);
    kick();
}

void pool_runner::handle_silence(const instance_id& id, milliseconds silence)
{
    auto it = targets_.find(id);
    if (it == targets_.end())
        return;
    if (std::exchange(it->second.is_answering, false))
    {
        write_log(log_level::warn, "pool_runner", "a target does not answer",
            {{"target", id}, {"pool", pool_}});
        // Targets of a rack or behind a switch fail together; idle ones would
        // be noticed one by one, each by a task that waits for it.
        for (const auto& [other, entry] : targets_)
            if (entry.is_answering)
                entry.link->sync_soon();
    }
    health_.on_silent(id, get_now());
    update_description(it->second);
    if (is_owned_ && silence > failed_after)
        on_failure_(id);
    // Repeatable work is not left waiting for a silent target.
    if (silence < node_.config.start_deadline)
        return;
    std::vector<active_ptr> stranded;
    for (const auto& [task, active] : active_)
        if (active->target == id && active->is_on_target &&
            active->item.task.is_idempotent &&
            active->item.task.kind == queue_kind::urgent)
            stranded.push_back(active);
    for (const auto& active : stranded)
    {
        // The target may go on with the task until its lease lapses.
        release(active, task_outcome::unknown,
            node_.config.start_deadline + node_.config.task_lease);
        retry_or_finish(
            active, make_failure(502, "target_silent",
                        "the target stopped answering", run_answer::unknown));
    }
}

bool pool_runner::may_set_aside() const
{
    auto pool = node_.state.get_pools().find(pool_);
    if (pool == node_.state.get_pools().end())
        return false;
    std::uint32_t n = node_.state.count_unavailable(pool_);
    for (const auto& [id, it] : targets_)
        if (health_.get_state(id) == target_health_state::quarantined &&
            it.description.state == instance_state::in_service)
            ++n;
    return n < pool->second.max_unavailable;
}

void pool_runner::judge_targets()
{
    auto judged = health_.tick(
        get_now(), [this](const instance_id&) { return may_set_aside(); });
    for (const auto& it : judged.changes)
    {
        log_.write(to_string(it.state), to_string(it.rule),
            {{"target", it.target}, {"pool", pool_}, {"failures", it.failures},
                {"evidence", it.evidence}});
        auto entry = targets_.find(it.target);
        if (entry != targets_.end())
            update_description(entry->second);
    }
    // Bounded: the ids are only needed while attempts are under way.
    if (bad_work_.size() > max_bad_work)
        bad_work_.clear();
    for (const auto& it : judged.bad_tasks)
    {
        log_.write("give_up", "fails_on_sound_targets",
            {{"request", it.task}, {"pool", pool_},
                {"targets", it.targets.size()}});
        bad_work_.insert(it.task);
    }
}

std::vector<pool_runner::target_view> pool_runner::list_targets() const
{
    std::vector<target_view> out;
    for (const auto& [id, it] : targets_)
        out.push_back({id, it.description.slots.get(),
            it.description.free_slots.value_or(slot_count(0)).get(),
            it.is_answering});
    return out;
}

} // namespace cowslippass
