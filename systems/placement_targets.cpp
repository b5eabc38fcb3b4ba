#include "systems/placement_targets.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowslippass
{

namespace
{

constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

/// Random draws before the baseline falls back to a scan.
constexpr int random_tries = 8;

std::uint64_t memory_of(const placement_target& target)
{
    return target.memory.get() == 0 ? unlimited : target.memory.get();
}

std::uint32_t permille(std::uint32_t part, std::uint32_t whole)
{
    return whole == 0 ? 1000 : part * 1000 / whole;
}

bool is_avoided(const placement_targets::row& row, const placement_task& task)
{
    return std::find(task.avoid.begin(), task.avoid.end(), row.target.id) !=
           task.avoid.end();
}

bool is_memory_fit(
    std::uint64_t used, std::uint64_t wanted, const placement_target& target)
{
    return wanted == 0 || target.memory.get() == 0 ||
           used + wanted <= target.memory.get();
}

} // namespace

placement_targets::placement_targets(const placement_policy& policy)
    : choice_(policy.choice), refusal_pause_(policy.refusal_pause),
      reservation_yields_(policy.reservation_yields), random_(policy.seed)
{
}

void placement_targets::set(const placement_target& target)
{
    auto [it, is_new] = rows_.try_emplace(target.id);
    row& row = it->second;
    if (!is_new && target.epoch < row.target.epoch)
        return;
    if (is_new)
        row.number = next_number_++;
    else if (!row.is_removed)
        forget(row);
    row.target = target;
    row.is_removed = false;
    if (target.free_slots)
    {
        std::uint32_t known = target.free_slots->get() + row.tasks;
        std::uint32_t slots = target.slots.get();
        row.foreign = slots > known ? slots - known : 0;
        row.is_paused = false;
    }
    memories_.insert(memory_of(target));
    join_rack(row);
    if (is_usable(row))
        usable_ += target.slots.get();
    reindex(row);
}

void placement_targets::remove(const instance_id& id)
{
    row* row = find(id);
    if (row == nullptr || row->is_removed)
        return;
    if (row == reserved_)
        drop_reservation();
    forget(*row);
    row->is_removed = true;
    erase_if_gone(*row);
}

placement_targets::row* placement_targets::find(const instance_id& id)
{
    auto it = rows_.find(id);
    return it == rows_.end() ? nullptr : &it->second;
}

placement_targets::choice placement_targets::choose(const placement_task& task)
{
    using chooser = choice (placement_targets::*)(const placement_task&);
    static constexpr chooser choosers[] = {
        &placement_targets::choose_spread, &placement_targets::choose_random};
    if (is_too_large_now(task))
        return {};
    return (this->*choosers[static_cast<std::size_t>(choice_)])(task);
}

placement_targets::choice placement_targets::choose_spread(
    const placement_task& task)
{
    const auto& order =
        task.kind == queue_kind::urgent ? urgent_order_ : slow_order_;
    choice found;
    for (const auto& [key, row] : order)
    {
        ++found.candidates;
        if (!is_fit(*row, task))
            continue;
        found.target = row;
        break;
    }
    return found;
}

placement_targets::choice placement_targets::choose_random(
    const placement_task& task)
{
    choice found;
    for (int i = 0; i < random_tries && !open_.empty(); ++i)
    {
        ++found.candidates;
        row* row = open_[random_() % open_.size()];
        if (!is_fit(*row, task))
            continue;
        found.target = row;
        return found;
    }
    for (row* row : open_)
    {
        ++found.candidates;
        if (!is_fit(*row, task))
            continue;
        found.target = row;
        break;
    }
    return found;
}

bool placement_targets::is_too_large_now(const placement_task& task) const
{
    const auto& room =
        task.kind == queue_kind::urgent ? urgent_room_ : slow_room_;
    return room.empty() || task.memory.get() > *room.rbegin();
}

bool placement_targets::reserve(const placement_task& task)
{
    if (reserved_ != nullptr)
        return false;
    row* best = nullptr;
    for (auto& [id, row] : rows_)
    {
        bool is_candidate = is_usable(row) &&
                            row.target.health == target_health_state::sound &&
                            task.memory.get() <= memory_of(row.target);
        if (!is_candidate)
            continue;
        if (best == nullptr || get_room(row) > get_room(*best))
            best = &row;
    }
    if (best == nullptr)
        return false;
    best->reserved_for = &task;
    reserved_ = best;
    reserved_at_ = now_;
    reindex(*best);
    return true;
}

void placement_targets::release(const placement_task& task)
{
    if (get_reserved() == &task)
        drop_reservation();
}

const placement_task* placement_targets::get_reserved() const
{
    return reserved_ == nullptr ? nullptr : reserved_->reserved_for;
}

placement_targets::choice placement_targets::choose_reserved(
    const placement_task& task) const
{
    bool is_ready =
        reserved_ != nullptr && reserved_->is_open && is_fit(*reserved_, task);
    return is_ready ? choice{reserved_, 1} : choice{nullptr, 1};
}

void placement_targets::drop_reservation()
{
    row& row = *std::exchange(reserved_, nullptr);
    row.reserved_for = nullptr;
    reindex(row);
}

bool placement_targets::is_blocked_by_slow(const row& row) const
{
    return row.slow_memory + row.reserved_for->memory.get() >
           memory_of(row.target);
}

bool placement_targets::would_fit(
    const row& row, const placement_task& task, byte_count victim_memory)
{
    const placement_target& target = row.target;
    if (row.is_removed || target.state != instance_state::in_service)
        return false;
    if (target.health != target_health_state::sound)
        return false;
    std::uint64_t used =
        row.memory_used - std::min(row.memory_used, victim_memory.get());
    return is_memory_fit(used, task.memory.get(), target);
}

void placement_targets::occupy(
    row& row, const placement_task& task, bool is_starting)
{
    ++row.tasks;
    row.starting += is_starting ? 1 : 0;
    row.memory_used += task.memory.get();
    if (task.kind == queue_kind::slow)
        row.slow_memory += task.memory.get();
    if (task.kind == queue_kind::urgent)
        change_urgent(row, 1);
    reindex(row);
}

void placement_targets::confirm_start(row& row)
{
    --row.starting;
    reindex(row);
}

void placement_targets::vacate(
    row& row, const placement_task& task, bool was_starting)
{
    --row.tasks;
    row.starting -= was_starting ? 1 : 0;
    row.memory_used -= task.memory.get();
    if (task.kind == queue_kind::slow)
        row.slow_memory -= task.memory.get();
    if (task.kind == queue_kind::urgent)
        change_urgent(row, -1);
    reindex(row);
    erase_if_gone(row);
}

void placement_targets::on_refused(
    row& row, start_refusal reason, monotonic_time now)
{
    // A late start is the fault of the path, not of the target.
    if (row.is_removed || reason == start_refusal::deadline_passed)
        return;
    if (reason == start_refusal::leaving)
    {
        if (is_usable(row))
            usable_ -= row.target.slots.get();
        row.target.state = instance_state::draining;
    }
    else
    {
        row.is_paused = true;
        paused_.emplace_back(now + refusal_pause_, row.target.id);
    }
    reindex(row);
}

void placement_targets::begin_tick(monotonic_time now)
{
    now_ = now;
    bool is_useless =
        reserved_ != nullptr &&
        (!is_usable(*reserved_) ||
            reserved_->target.health != target_health_state::sound ||
            reserved_->reserved_for->memory.get() >
                memory_of(reserved_->target));
    if (is_useless)
        drop_reservation();
    std::erase_if(paused_,
        [&](const auto& pause)
        {
            if (pause.first > now)
                return false;
            row* row = find(pause.second);
            if (row != nullptr && row->is_paused)
            {
                row->is_paused = false;
                reindex(*row);
            }
            return true;
        });
}

bool placement_targets::can_ever_fit(byte_count memory) const
{
    return memories_.empty() || memory.get() <= *memories_.rbegin();
}

bool placement_targets::is_fit(const row& row, const placement_task& task) const
{
    // A task that cannot run again is not risked on a target under test.
    bool is_proved = row.target.health == target_health_state::sound;
    if (!is_proved && !task.is_idempotent)
        return false;
    bool is_for_other =
        row.reserved_for != nullptr && row.reserved_for != &task;
    if (is_for_other && task.kind == queue_kind::slow)
        return false;
    if (is_for_other && now_ - reserved_at_ >= reservation_yields_ &&
        !is_blocked_by_slow(row))
        return false;
    if (is_avoided(row, task) && has_other_target(task))
        return false;
    return is_memory_fit(row.memory_used, task.memory.get(), row.target);
}

bool placement_targets::has_other_target(const placement_task& task) const
{
    return std::any_of(rows_.begin(), rows_.end(),
        [&](const auto& it)
        {
            return is_usable(it.second) && !is_avoided(it.second, task) &&
                   task.memory.get() <= memory_of(it.second.target);
        });
}

bool placement_targets::is_usable(const row& row) const
{
    return !row.is_removed && row.target.state == instance_state::in_service &&
           row.target.health != target_health_state::set_aside;
}

std::uint64_t placement_targets::get_room(const row& row)
{
    std::uint64_t memory = memory_of(row.target);
    return memory == unlimited ? unlimited
                               : memory - std::min(memory, row.memory_used);
}

std::uint32_t placement_targets::count_free_slots(const row& row) const
{
    std::uint32_t used = row.tasks + row.foreign;
    std::uint32_t slots = row.target.slots.get();
    if (!is_usable(row) || row.is_paused || used >= slots)
        return 0;
    if (row.target.health == target_health_state::probation)
        return row.tasks == 0 ? 1 : 0;
    return slots - used;
}

void placement_targets::reindex(row& row)
{
    close(row);
    row.free = count_free_slots(row);
    free_ += row.free;
    // One connection carries the sync.
    bool is_open = row.free > 0 && row.starting + 1 < row.target.connections;
    if (is_open)
        open(row);
}

void placement_targets::close(row& row)
{
    free_ -= row.free;
    row.free = 0;
    if (!row.is_open)
        return;
    row.is_open = false;
    urgent_room_.erase(urgent_room_.find(row.room));
    urgent_order_.erase(row.urgent_key);
    if (std::exchange(row.is_open_for_slow, false))
    {
        slow_room_.erase(slow_room_.find(row.room));
        slow_order_.erase(row.slow_key);
    }
    open_[row.open_position] = open_.back();
    open_[row.open_position]->open_position = row.open_position;
    open_.pop_back();
}

placement_targets::order_key placement_targets::make_urgent_key(const row& row)
{
    // A target on probation gets urgent work last, and slow work first, so
    // that it is tested on work that can wait for a retry.
    bool is_probation = row.target.health == target_health_state::probation;
    std::uint32_t reserved_class = row.reserved_for != nullptr ? 1 : 0;
    std::uint32_t slots = row.target.slots.get();
    return {is_probation ? 2 : reserved_class,
        permille(row.rack->urgent, row.rack->slots),
        permille(slots - row.free, slots), row.number};
}

void placement_targets::renew_urgent_key(row& row)
{
    order_key key = make_urgent_key(row);
    if (key == row.urgent_key)
        return;
    auto node = urgent_order_.extract(row.urgent_key);
    row.urgent_key = key;
    node.key() = key;
    urgent_order_.insert(std::move(node));
}

void placement_targets::open(row& row)
{
    bool is_probation = row.target.health == target_health_state::probation;
    std::uint32_t slots = row.target.slots.get();
    std::uint32_t load = permille(slots - row.free, slots);
    row.urgent_key = make_urgent_key(row);
    row.slow_key = {is_probation ? 0 : 1, 0, load, row.number};
    row.room = get_room(row);
    urgent_room_.insert(row.room);
    urgent_order_.emplace(row.urgent_key, &row);
    row.is_open_for_slow = row.reserved_for == nullptr;
    if (row.is_open_for_slow)
    {
        slow_room_.insert(row.room);
        slow_order_.emplace(row.slow_key, &row);
    }
    row.open_position = static_cast<std::uint32_t>(open_.size());
    row.is_open = true;
    open_.push_back(&row);
}

void placement_targets::change_urgent(row& row, int by)
{
    row.urgent += by;
    urgent_ += by;
    if (row.rack == nullptr)
        return;
    row.rack->urgent += by;
    for (auto* member : row.rack->rows)
        if (member != &row && member->is_open)
            renew_urgent_key(*member);
}

void placement_targets::join_rack(row& row)
{
    rack_row& rack = racks_[row.target.rack];
    row.rack = &rack;
    rack.slots += row.target.slots.get();
    rack.urgent += row.urgent;
    rack.rows.push_back(&row);
}

void placement_targets::forget(row& row)
{
    close(row);
    if (is_usable(row))
        usable_ -= row.target.slots.get();
    memories_.erase(memories_.find(memory_of(row.target)));
    rack_row& rack = *row.rack;
    rack.slots -= row.target.slots.get();
    rack.urgent -= row.urgent;
    std::erase(rack.rows, &row);
    if (rack.rows.empty())
        racks_.erase(row.target.rack);
    row.rack = nullptr;
}

void placement_targets::erase_if_gone(row& row)
{
    if (!row.is_removed || row.tasks > 0)
        return;
    // A copy, as the key would be erased while it is used.
    instance_id id = row.target.id;
    rows_.erase(id);
}

} // namespace cowslippass
