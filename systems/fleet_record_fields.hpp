#pragma once

#include "systems/fleet_record.hpp"
#include "systems/json_fields.hpp"

#include <array>

// The JSON fields of every fleet record. Names and types are stored in the
// fleet log and in snapshots, so a change here needs a change of both.

namespace cowslippass::json_fields
{

inline bool is_address_text(const std::string& text)
{
    return is_address(text);
}

inline bool is_digest_text(const std::string& text)
{
    return is_digest(text);
}

inline bool is_name_text(const std::string& text)
{
    return is_name(text);
}

inline bool is_positive(const std::uint32_t& n)
{
    return n > 0;
}

inline bool is_positive_slots(const slot_count& n)
{
    return n.get() > 0;
}

inline constexpr const char* digest_rule = "64 lower-case hex digits";
inline constexpr const char* address_rule = "IP:port";
inline constexpr const char* positive_rule = "at least 1";

template <>
struct names_of<queue_kind>
{
    static constexpr std::array value{"urgent", "slow"};
};

template <>
struct names_of<instance_state>
{
    static constexpr std::array value{
        "in-service", "draining", "rebooting", "failed", "out"};
};

template <>
struct fields_of<team_record>
{
    static constexpr const char* type = "team";
    static constexpr auto value = std::make_tuple(field{"id", &team_record::id},
        field{"share", &team_record::share, is_positive, positive_rule},
        field{"limit", &team_record::limit});
};

template <>
struct fields_of<key_record>
{
    static constexpr const char* type = "key";
    static constexpr auto value = std::make_tuple(field{"id", &key_record::id},
        field{"team", &key_record::team},
        field{"secret_sha256", &key_record::secret_sha256, is_digest_text,
            digest_rule});
};

template <>
struct fields_of<key_withdrawn_record>
{
    static constexpr const char* type = "key_withdrawn";
    static constexpr auto value =
        std::make_tuple(field{"id", &key_withdrawn_record::id});
};

template <>
struct fields_of<operator_record>
{
    static constexpr const char* type = "operator";
    static constexpr auto value =
        std::make_tuple(field{"id", &operator_record::id},
            field{"secret_sha256", &operator_record::secret_sha256,
                is_digest_text, digest_rule});
};

template <>
struct fields_of<operator_withdrawn_record>
{
    static constexpr const char* type = "operator_withdrawn";
    static constexpr auto value =
        std::make_tuple(field{"id", &operator_withdrawn_record::id});
};

template <>
struct fields_of<pool_record>
{
    static constexpr const char* type = "pool";
    static constexpr auto value = std::make_tuple(field{"id", &pool_record::id},
        field{"max_unavailable", &pool_record::max_unavailable},
        field{"is_spare", &pool_record::is_spare});
};

template <>
struct fields_of<queue_record>
{
    static constexpr const char* type = "queue";
    static constexpr auto value = std::make_tuple(
        field{"id", &queue_record::id}, field{"pool", &queue_record::pool},
        field{"kind", &queue_record::kind},
        field{"is_idempotent", &queue_record::is_idempotent},
        field{"is_open", &queue_record::is_open},
        field{"team", &queue_record::team});
};

template <>
struct fields_of<data_centre_record>
{
    static constexpr const char* type = "data_centre";
    static constexpr auto value =
        std::make_tuple(field{"id", &data_centre_record::id},
            field{"is_in_service", &data_centre_record::is_in_service});
};

template <>
struct fields_of<instance_record>
{
    static constexpr const char* type = "instance";
    static constexpr auto value =
        std::make_tuple(field{"id", &instance_record::id},
            field{"data_centre", &instance_record::data_centre},
            field{"rack", &instance_record::rack},
            field{"address", &instance_record::address, is_address_text,
                address_rule},
            field{"slots", &instance_record::slots, is_positive_slots,
                positive_rule},
            field{"memory", &instance_record::memory},
            field{"pool", &instance_record::pool});
};

template <>
struct fields_of<instance_state_record>
{
    static constexpr const char* type = "instance_state";
    static constexpr auto value =
        std::make_tuple(field{"id", &instance_state_record::id},
            field{"state", &instance_state_record::state},
            field{"maintained_pass", &instance_state_record::maintained_pass},
            field{"is_for_maintenance",
                &instance_state_record::is_for_maintenance});
};

template <>
struct fields_of<instance_moved_record>
{
    static constexpr const char* type = "instance_moved";
    static constexpr auto value =
        std::make_tuple(field{"id", &instance_moved_record::id},
            field{"pool", &instance_moved_record::pool});
};

template <>
struct fields_of<instance_removed_record>
{
    static constexpr const char* type = "instance_removed";
    static constexpr auto value =
        std::make_tuple(field{"id", &instance_removed_record::id});
};

template <>
struct fields_of<session_started_record>
{
    static constexpr const char* type = "session_started";
    static constexpr auto value =
        std::make_tuple(field{"entry", &session_started_record::entry},
            field{"data_centre", &session_started_record::data_centre},
            field{"peer_address", &session_started_record::peer_address,
                is_address_text, address_rule},
            field{"http_address", &session_started_record::http_address,
                is_address_text, address_rule},
            field{"nonce", &session_started_record::nonce, is_name_text,
                "letters, digits, '.', '_' and '-'"});
};

template <>
struct fields_of<session_ended_record>
{
    static constexpr const char* type = "session_ended";
    static constexpr auto value =
        std::make_tuple(field{"session", &session_ended_record::session});
};

} // namespace cowslippass::json_fields
