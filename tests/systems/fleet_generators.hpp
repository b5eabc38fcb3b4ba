#pragma once

#include "systems/systems.hpp"

#include <rapidcheck.h>

// Generators of valid fleet records over a few names, so that records often
// concern the same entity.

namespace cowslippass::generators
{

namespace gen = rc::gen;

inline rc::Gen<std::string> small_name(char prefix)
{
    return gen::map(gen::inRange(1, 5),
        [prefix](int n) { return prefix + std::to_string(n); });
}

template <class Id>
rc::Gen<Id> id(char prefix)
{
    return gen::construct<Id>(small_name(prefix));
}

template <class Record, class... Gens>
rc::Gen<fleet_record> record(Gens... gens)
{
    return gen::apply([](auto... it) -> fleet_record
        { return Record{std::move(it)...}; },
        std::move(gens)...);
}

inline rc::Gen<fleet_record> any_record()
{
    auto flag = gen::arbitrary<bool>();
    auto any = gen::arbitrary<std::uint32_t>();
    auto positive = gen::inRange<std::uint32_t>(1, 100);
    auto digest =
        gen::map(any, [](auto n) { return sha256_hex(std::to_string(n)); });
    auto address = gen::map(gen::inRange(1, 65536),
        [](int n) { return "127.0.0.1:" + std::to_string(n); });
    auto key = id<key_id>('k');
    auto team = id<team_id>('t');
    auto maybe_team = gen::map(team, [](auto it)
        { return it.get() == "t1" ? std::nullopt : std::optional(it); });
    auto maybe_pass = gen::map(positive,
        [](auto n) { return n > 50 ? std::nullopt : std::optional(n); });
    auto pool = id<pool_id>('p');
    auto centre = id<data_centre_id>('d');
    auto instance = id<instance_id>('i');
    auto state = gen::map(gen::inRange(0, 5),
        [](int n) { return static_cast<instance_state>(n); });
    auto kind = gen::element(queue_kind::urgent, queue_kind::slow);
    auto session = gen::inRange<std::uint64_t>(1, 10);
    auto memory = gen::arbitrary<std::uint64_t>();
    return gen::oneOf(
        record<team_record>(team, positive, gen::construct<task_count>(any)),
        record<key_record>(key, team, digest),
        record<key_withdrawn_record>(key), record<operator_record>(key, digest),
        record<operator_withdrawn_record>(key),
        record<pool_record>(pool, any, flag),
        record<queue_record>(
            id<queue_id>('q'), pool, kind, flag, flag, maybe_team),
        record<data_centre_record>(centre, flag),
        record<instance_record>(instance, centre, id<rack_id>('r'), address,
            gen::construct<slot_count>(positive),
            gen::construct<byte_count>(memory), pool),
        record<instance_state_record>(instance, state, maybe_pass, flag),
        record<instance_moved_record>(instance, pool),
        record<instance_removed_record>(instance),
        record<session_started_record>(
            id<entry_id>('e'), centre, address, address, small_name('n')),
        record<session_ended_record>(gen::construct<session_id>(session)));
}

/// A log: the records of versions 1, 2, …
inline rc::Gen<std::vector<std::vector<fleet_record>>> any_log()
{
    return gen::container<std::vector<std::vector<fleet_record>>>(
        gen::container<std::vector<fleet_record>>(any_record()));
}

} // namespace cowslippass::generators

namespace cowslippass
{

/// @return the code of the error that `call` throws, or an empty string.
template <class Call>
std::string get_error_code(Call call)
try
{
    call();
    return {};
}
catch (const error& e)
{
    return e.get_code();
}

/// Installs `records` as the next version.
inline void apply_next(
    fleet_state& state, const std::vector<fleet_record>& records)
{
    state.apply(config_version(state.get_version().get() + 1), records);
}

inline fleet_state replay(const std::vector<std::vector<fleet_record>>& log)
{
    fleet_state state;
    for (const auto& records : log)
        apply_next(state, records);
    return state;
}

} // namespace cowslippass
