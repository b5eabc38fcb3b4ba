#include "systems/placement_targets.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace cowslippass
{

namespace
{

constexpr std::uint64_t unlimited = std::numeric_limits<std::uint64_t>::max();

/// Random draws before the random choice falls back to a scan.
constexpr int random_tries = 8;

/// @return memory in bytes; unlimited if it is not checked.
std::uint64_t get_memory_limit(const placement_target& target)
{
    return target.memory.get() == 0 ? unlimited : target.memory.get();
}

std::uint32_t compute_permille(std::uint32_t part, std::uint32_t whole)
{
    return whole == 0 ? 1000 : part * 1000 / whole;
}

bool is_avoided(
    const placement_targets::target_row& row, const placement_task& task)
{
    return std::find(task.avoided_targets.begin(), task.avoided_targets.end(),
               row.target.id) != task.avoided_targets.end();
}

bool fits_memory(
    std::uint64_t used, std::uint64_t wanted, const placement_target& target)
{
    return wanted == 0 || target.memory.get() == 0 ||
           used + wanted <= target.memory.get();
}

} // namespace

placement_targets::placement_targets(const placement_policy& policy)
    : choice_(policy.choice), refusal_backoff_(policy.refusal_backoff),
      reservation_sharing_time_(policy.reservation_sharing_time),
      random_(policy.seed)
{
}

void placement_targets::set(const placement_target& target)
{
    auto [it, is_new] = rows_.try_emplace(target.id);
    target_row& row = it->second;
    if (!is_new && target.epoch < row.target.epoch)
        return;
    if (is_new)
        row.number = next_number_++;
    else if (!row.is_removed)
        detach(row);
    row.target = target;
    row.is_removed = false;
    if (target.free_slots)
    {
        std::uint32_t known = target.free_slots->get() + row.placed_tasks;
        std::uint32_t slots = target.slots.get();
        row.foreign_tasks = slots > known ? slots - known : 0;
        row.is_backing_off = false;
    }
    memory_sizes_.insert(get_memory_limit(target));
    attach_to_rack(row);
    if (is_usable(row))
        usable_slots_ += target.slots.get();
    reindex(row);
}

void placement_targets::remove(const instance_id& id)
{
    target_row* row = find(id);
    if (row == nullptr || row->is_removed)
        return;
    if (row == reserved_target_)
        drop_reservation();
    detach(*row);
    row->is_removed = true;
    erase_if_unused(*row);
}

placement_targets::target_row* placement_targets::find(const instance_id& id)
{
    auto it = rows_.find(id);
    return it == rows_.end() ? nullptr : &it->second;
}

placement_targets::choice placement_targets::choose(const placement_task& task)
{
    using chooser = choice (placement_targets::*)(const placement_task&);
    static constexpr chooser choosers[] = {
        &placement_targets::choose_spread, &placement_targets::choose_random};
    if (exceeds_free_memory(task))
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
        if (!can_run(*row, task))
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
    for (int i = 0; i < random_tries && !available_.empty(); ++i)
    {
        ++found.candidates;
        target_row* row = available_[random_() % available_.size()];
        if (!can_run(*row, task))
            continue;
        found.target = row;
        return found;
    }
    for (target_row* row : available_)
    {
        ++found.candidates;
        if (!can_run(*row, task))
            continue;
        found.target = row;
        break;
    }
    return found;
}

bool placement_targets::exceeds_free_memory(const placement_task& task) const
{
    const auto& free_memory = task.kind == queue_kind::urgent
                                  ? urgent_free_memory_
                                  : slow_free_memory_;
    return free_memory.empty() || task.memory.get() > *free_memory.rbegin();
}

bool placement_targets::reserve(const placement_task& task)
{
    if (reserved_target_ != nullptr)
        return false;
    target_row* best = nullptr;
    for (auto& [id, row] : rows_)
    {
        bool is_candidate = is_usable(row) &&
                            row.target.health == target_health_state::healthy &&
                            task.memory.get() <= get_memory_limit(row.target);
        if (!is_candidate)
            continue;
        if (best == nullptr || get_free_memory(row) > get_free_memory(*best))
            best = &row;
    }
    if (best == nullptr)
        return false;
    best->reserved_for = &task;
    reserved_target_ = best;
    reserved_at_ = now_;
    reindex(*best);
    return true;
}

void placement_targets::release(const placement_task& task)
{
    if (get_reserved_task() == &task)
        drop_reservation();
}

const placement_task* placement_targets::get_reserved_task() const
{
    return reserved_target_ == nullptr ? nullptr
                                       : reserved_target_->reserved_for;
}

placement_targets::choice placement_targets::choose_reserved(
    const placement_task& task) const
{
    bool is_ready = reserved_target_ != nullptr &&
                    reserved_target_->is_available &&
                    can_run(*reserved_target_, task);
    return is_ready ? choice{reserved_target_, 1} : choice{nullptr, 1};
}

void placement_targets::drop_reservation()
{
    target_row& row = *std::exchange(reserved_target_, nullptr);
    row.reserved_for = nullptr;
    reindex(row);
}

bool placement_targets::is_blocked_by_slow(const target_row& row) const
{
    return row.slow_memory + row.reserved_for->memory.get() >
           get_memory_limit(row.target);
}

bool placement_targets::would_fit(
    const target_row& row, const placement_task& task, byte_count victim_memory)
{
    const placement_target& target = row.target;
    if (row.is_removed || target.state != instance_state::in_service)
        return false;
    if (target.health != target_health_state::healthy)
        return false;
    std::uint64_t used =
        row.memory_used - std::min(row.memory_used, victim_memory.get());
    return fits_memory(used, task.memory.get(), target);
}

void placement_targets::occupy(
    target_row& row, const placement_task& task, bool is_starting)
{
    ++row.placed_tasks;
    row.starting_tasks += is_starting ? 1 : 0;
    row.memory_used += task.memory.get();
    if (task.kind == queue_kind::slow)
        row.slow_memory += task.memory.get();
    if (task.kind == queue_kind::urgent)
        change_urgent_tasks(row, 1);
    reindex(row);
}

void placement_targets::confirm_start(target_row& row)
{
    --row.starting_tasks;
    reindex(row);
}

void placement_targets::vacate(
    target_row& row, const placement_task& task, bool was_starting)
{
    --row.placed_tasks;
    row.starting_tasks -= was_starting ? 1 : 0;
    row.memory_used -= task.memory.get();
    if (task.kind == queue_kind::slow)
        row.slow_memory -= task.memory.get();
    if (task.kind == queue_kind::urgent)
        change_urgent_tasks(row, -1);
    reindex(row);
    erase_if_unused(row);
}

void placement_targets::on_refused(
    target_row& row, start_refusal reason, monotonic_time now)
{
    // A start request that arrives too late was delayed on the way; it says
    // nothing about the target.
    if (row.is_removed || reason == start_refusal::deadline_passed)
        return;
    if (reason == start_refusal::leaving)
    {
        if (is_usable(row))
            usable_slots_ -= row.target.slots.get();
        row.target.state = instance_state::draining;
    }
    else
    {
        row.is_backing_off = true;
        backing_off_.emplace_back(now + refusal_backoff_, row.target.id);
    }
    reindex(row);
}

void placement_targets::begin_tick(monotonic_time now)
{
    now_ = now;
    bool is_useless =
        reserved_target_ != nullptr &&
        (!is_usable(*reserved_target_) ||
            reserved_target_->target.health != target_health_state::healthy ||
            reserved_target_->reserved_for->memory.get() >
                get_memory_limit(reserved_target_->target));
    if (is_useless)
        drop_reservation();
    std::erase_if(backing_off_,
        [&](const auto& backoff)
        {
            if (backoff.first > now)
                return false;
            target_row* row = find(backoff.second);
            if (row != nullptr && row->is_backing_off)
            {
                row->is_backing_off = false;
                reindex(*row);
            }
            return true;
        });
}

bool placement_targets::fits_any_target(byte_count memory) const
{
    return memory_sizes_.empty() || memory.get() <= *memory_sizes_.rbegin();
}

bool placement_targets::can_run(
    const target_row& row, const placement_task& task) const
{
    // A task that cannot run again must not be used to test a target.
    bool is_healthy = row.target.health == target_health_state::healthy;
    if (!is_healthy && !task.is_idempotent)
        return false;
    bool is_for_other =
        row.reserved_for != nullptr && row.reserved_for != &task;
    if (is_for_other && task.kind == queue_kind::slow)
        return false;
    if (is_for_other && now_ - reserved_at_ >= reservation_sharing_time_ &&
        !is_blocked_by_slow(row))
        return false;
    if (is_avoided(row, task) && has_other_target(task))
        return false;
    return fits_memory(row.memory_used, task.memory.get(), row.target);
}

bool placement_targets::has_other_target(const placement_task& task) const
{
    return std::any_of(rows_.begin(), rows_.end(),
        [&](const auto& it)
        {
            return is_usable(it.second) && !is_avoided(it.second, task) &&
                   task.memory.get() <= get_memory_limit(it.second.target);
        });
}

bool placement_targets::is_usable(const target_row& row) const
{
    return !row.is_removed && row.target.state == instance_state::in_service &&
           row.target.health != target_health_state::quarantined;
}

std::uint64_t placement_targets::get_free_memory(const target_row& row)
{
    std::uint64_t memory = get_memory_limit(row.target);
    return memory == unlimited ? unlimited
                               : memory - std::min(memory, row.memory_used);
}

std::uint32_t placement_targets::count_free_slots(const target_row& row) const
{
    std::uint32_t used = row.placed_tasks + row.foreign_tasks;
    std::uint32_t slots = row.target.slots.get();
    if (!is_usable(row) || row.is_backing_off || used >= slots)
        return 0;
    if (row.target.health == target_health_state::probation)
        return row.placed_tasks == 0 ? 1 : 0;
    return slots - used;
}

void placement_targets::reindex(target_row& row)
{
    remove_from_index(row);
    row.free_slots = count_free_slots(row);
    free_slots_ += row.free_slots;
    // One connection carries the status synchronization.
    bool is_available =
        row.free_slots > 0 && row.starting_tasks + 1 < row.target.connections;
    if (is_available)
        add_to_index(row);
}

void placement_targets::remove_from_index(target_row& row)
{
    free_slots_ -= row.free_slots;
    row.free_slots = 0;
    if (!row.is_available)
        return;
    row.is_available = false;
    urgent_free_memory_.erase(urgent_free_memory_.find(row.free_memory));
    urgent_order_.erase(row.urgent_key);
    if (std::exchange(row.is_available_for_slow, false))
    {
        slow_free_memory_.erase(slow_free_memory_.find(row.free_memory));
        slow_order_.erase(row.slow_key);
    }
    available_[row.available_position] = available_.back();
    available_[row.available_position]->available_position =
        row.available_position;
    available_.pop_back();
}

placement_targets::order_key placement_targets::make_urgent_key(
    const target_row& row)
{
    // A target on probation gets urgent tasks last and slow tasks first, so
    // that it is tested with tasks that can wait for a retry.
    bool is_probation = row.target.health == target_health_state::probation;
    std::uint32_t reserved_class = row.reserved_for != nullptr ? 1 : 0;
    std::uint32_t slots = row.target.slots.get();
    return {is_probation ? 2 : reserved_class,
        compute_permille(row.rack->urgent_tasks, row.rack->slots),
        compute_permille(slots - row.free_slots, slots), row.number};
}

void placement_targets::update_urgent_key(target_row& row)
{
    order_key key = make_urgent_key(row);
    if (key == row.urgent_key)
        return;
    auto node = urgent_order_.extract(row.urgent_key);
    row.urgent_key = key;
    node.key() = key;
    urgent_order_.insert(std::move(node));
}

void placement_targets::add_to_index(target_row& row)
{
    bool is_probation = row.target.health == target_health_state::probation;
    std::uint32_t slots = row.target.slots.get();
    std::uint32_t load = compute_permille(slots - row.free_slots, slots);
    row.urgent_key = make_urgent_key(row);
    row.slow_key = {is_probation ? 0 : 1, 0, load, row.number};
    row.free_memory = get_free_memory(row);
    urgent_free_memory_.insert(row.free_memory);
    urgent_order_.emplace(row.urgent_key, &row);
    row.is_available_for_slow = row.reserved_for == nullptr;
    if (row.is_available_for_slow)
    {
        slow_free_memory_.insert(row.free_memory);
        slow_order_.emplace(row.slow_key, &row);
    }
    row.available_position = static_cast<std::uint32_t>(available_.size());
    row.is_available = true;
    available_.push_back(&row);
}

void placement_targets::change_urgent_tasks(target_row& row, int by)
{
    row.urgent_tasks += by;
    urgent_tasks_ += by;
    if (row.rack == nullptr)
        return;
    row.rack->urgent_tasks += by;
    for (auto* member : row.rack->rows)
        if (member != &row && member->is_available)
            update_urgent_key(*member);
}

void placement_targets::attach_to_rack(target_row& row)
{
    rack_row& rack = racks_[row.target.rack];
    row.rack = &rack;
    rack.slots += row.target.slots.get();
    rack.urgent_tasks += row.urgent_tasks;
    rack.rows.push_back(&row);
}

void placement_targets::detach(target_row& row)
{
    remove_from_index(row);
    if (is_usable(row))
        usable_slots_ -= row.target.slots.get();
    memory_sizes_.erase(memory_sizes_.find(get_memory_limit(row.target)));
    rack_row& rack = *row.rack;
    rack.slots -= row.target.slots.get();
    rack.urgent_tasks -= row.urgent_tasks;
    std::erase(rack.rows, &row);
    if (rack.rows.empty())
        racks_.erase(row.target.rack);
    row.rack = nullptr;
}

void placement_targets::erase_if_unused(target_row& row)
{
    if (!row.is_removed || row.placed_tasks > 0)
        return;
    // A copy: erase would destroy the key while it still uses it.
    instance_id id = row.target.id;
    rows_.erase(id);
}

} // namespace cowslippass
