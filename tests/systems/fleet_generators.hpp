#pragma once

#include "systems/systems.hpp"

#include <rapidcheck.h>

// Generators of valid fleet records over a few names, so that records often
// concern the same entity.

namespace cowslippass::generators
{

inline rc::Gen<std::string> small_name(char prefix)
{
    return rc::gen::map(rc::gen::inRange(1, 5),
        [prefix](int n) { return prefix + std::to_string(n); });
}

template <class Id>
rc::Gen<Id> id(char prefix)
{
    return rc::gen::construct<Id>(small_name(prefix));
}

inline rc::Gen<std::string> digest()
{
    return rc::gen::map(rc::gen::inRange(0, 1'000'000),
        [](int n) { return sha256_hex(std::to_string(n)); });
}

inline rc::Gen<std::string> address()
{
    return rc::gen::map(rc::gen::inRange(1, 65536),
        [](int n) { return "127.0.0.1:" + std::to_string(n); });
}

inline rc::Gen<std::uint32_t> positive()
{
    return rc::gen::inRange<std::uint32_t>(1, 100);
}

inline rc::Gen<instance_state> state()
{
    return rc::gen::element(instance_state::in_service,
        instance_state::draining, instance_state::rebooting,
        instance_state::failed, instance_state::out);
}

template <class T>
rc::Gen<std::optional<T>> maybe(rc::Gen<T> gen)
{
    return rc::gen::apply([](bool is_set, T value)
        { return is_set ? std::optional<T>(value) : std::nullopt; },
        rc::gen::arbitrary<bool>(), std::move(gen));
}

template <class Record, class... Gens>
rc::Gen<fleet_record> record(Gens... gens)
{
    return rc::gen::apply([](auto... it) -> fleet_record
        { return Record{std::move(it)...}; },
        std::move(gens)...);
}

inline rc::Gen<fleet_record> any_record()
{
    auto flag = rc::gen::arbitrary<bool>();
    auto key = id<key_id>('k');
    auto team = id<team_id>('t');
    auto pool = id<pool_id>('p');
    auto centre = id<data_centre_id>('d');
    auto instance = id<instance_id>('i');
    return rc::gen::oneOf(record<team_record>(team, positive(),
                              rc::gen::construct<task_count>(
                                  rc::gen::arbitrary<std::uint32_t>())),
        record<key_record>(key, team, digest()),
        record<key_withdrawn_record>(key),
        record<operator_record>(key, digest()),
        record<operator_withdrawn_record>(key),
        record<pool_record>(pool, rc::gen::arbitrary<std::uint32_t>(), flag),
        record<queue_record>(id<queue_id>('q'), pool,
            rc::gen::element(queue_kind::urgent, queue_kind::slow), flag, flag,
            maybe(team)),
        record<data_centre_record>(centre, flag),
        record<instance_record>(instance, centre, id<rack_id>('r'), address(),
            rc::gen::construct<slot_count>(positive()),
            rc::gen::construct<byte_count>(rc::gen::arbitrary<std::uint64_t>()),
            pool),
        record<instance_state_record>(
            instance, state(), maybe(positive()), flag),
        record<instance_moved_record>(instance, pool),
        record<instance_removed_record>(instance),
        record<session_started_record>(
            id<entry_id>('e'), centre, address(), address(), small_name('n')),
        record<session_ended_record>(rc::gen::construct<session_id>(
            rc::gen::inRange<std::uint64_t>(1, 10))));
}

/// A log: the records of versions 1, 2, …
inline rc::Gen<std::vector<std::vector<fleet_record>>> any_log()
{
    return rc::gen::container<std::vector<std::vector<fleet_record>>>(
        rc::gen::container<std::vector<fleet_record>>(any_record()));
}

} // namespace cowslippass::generators
