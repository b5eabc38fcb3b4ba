#pragma once

#include "core/core.hpp"
#include "systems/names.hpp"

#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>

// One table of fields for each struct drives its encoding, decoding and
// checks, so that these cannot disagree. Used by codecs only.

namespace cowslippass::json_fields
{

using json = nlohmann::json;

/// One member of `Record` under its JSON name, with a check of its value.
template <class Record, class Value>
struct field
{
    const char* name;
    Value Record::*member;
    /// Null if every value of the type is allowed.
    bool (*is_valid)(const Value&) = nullptr;
    const char* rule = ""; ///< What `is_valid` asks for, for messages.
};

template <class Record, class Value>
field(const char*, Value Record::*) -> field<Record, Value>;
template <class Record, class Value, class Check>
field(const char*, Value Record::*, Check, const char*) -> field<Record, Value>;

/// Specialised for each struct: `value` is a tuple of its fields.
template <class Record>
struct fields_of;

/// Specialised for each enumeration: `value` holds its names in order.
template <class Enum>
struct names_of;

[[noreturn]] inline void fail(const std::string& name, const std::string& rule)
{
    throw systems_error("bad_record", "field '" + name + "' must be " + rule);
}

template <class T>
struct is_optional : std::false_type
{
};
template <class T>
struct is_optional<std::optional<T>> : std::true_type
{
};
template <class T>
concept strong = requires
{
    typename T::value_type;
}
&&requires(const T& it)
{
    T(it.get());
}
&&!is_optional<T>::value;

template <class T>
json encode(const T& value);

template <class Record>
json encode_fields(const Record& record)
{
    json out = json::object();
    std::apply([&](const auto&... it)
        { ((out[it.name] = encode(record.*it.member)), ...); },
        fields_of<Record>::value);
    return out;
}

template <class T>
json encode(const T& value)
{
    if constexpr (is_optional<T>::value)
        return value ? encode(*value) : json();
    else if constexpr (std::is_enum_v<T>)
        return names_of<T>::value[static_cast<std::size_t>(value)];
    else if constexpr (std::is_arithmetic_v<T> ||
                       std::is_same_v<T, std::string>)
        return value;
    else if constexpr (strong<T>)
        return encode(value.get());
    else
        return encode_fields(value);
}

/// Checks names, which need no check of their own in the tables.
template <class T>
void check_value(const std::string& name, const T& value)
{
    if constexpr (is_optional<T>::value)
    {
        if (value)
            check_value(name, *value);
    }
    else if constexpr (strong<T>)
    {
        if constexpr (std::is_same_v<typename T::value_type, std::string>)
            if (!is_name(value.get()))
                fail(name, "a name");
    }
}

template <class Record>
void check_fields(const Record& record)
{
    auto check = [&](const auto& it)
    {
        const auto& value = record.*it.member;
        check_value(it.name, value);
        if (it.is_valid && !it.is_valid(value))
            fail(it.name, it.rule);
    };
    std::apply(
        [&](const auto&... it) { (check(it), ...); }, fields_of<Record>::value);
}

template <class T>
void decode(const std::string& name, const json& in, T& out);

/// @param skip a key of the object that is no field, or an empty string.
template <class Record>
Record decode_fields(const json& in, const std::string& skip = {})
{
    if (!in.is_object())
        throw systems_error("bad_record", "an object was expected");
    Record out;
    std::size_t known = in.contains(skip) ? 1 : 0;
    auto decode_one = [&](const auto& it)
    {
        auto found = in.find(it.name);
        if (found == in.end())
            fail(it.name, "present");
        decode(it.name, *found, out.*it.member);
        ++known;
    };
    std::apply([&](const auto&... it) { (decode_one(it), ...); },
        fields_of<Record>::value);
    if (known != in.size())
        throw systems_error("bad_record", "there is an unknown field");
    check_fields(out);
    return out;
}

template <class T>
void decode_number(const std::string& name, const json& in, T& out)
{
    // Text such as 1.0 or -1 is not an unsigned number to the JSON library.
    if (!in.is_number_unsigned() ||
        in.get<std::uint64_t>() > std::numeric_limits<T>::max())
        fail(name, "a whole number within its range");
    out = in.get<T>();
}

template <class T>
void decode_enum(const std::string& name, const json& in, T& out)
{
    const auto& names = names_of<T>::value;
    for (std::size_t i = 0; in.is_string() && i < std::size(names); ++i)
        if (in == names[i])
        {
            out = static_cast<T>(i);
            return;
        }
    fail(name, "one of the known words");
}

template <class T>
void decode(const std::string& name, const json& in, T& out)
{
    if constexpr (is_optional<T>::value)
    {
        out.reset();
        if (!in.is_null())
            decode(name, in, out.emplace());
    }
    else if constexpr (std::is_enum_v<T>)
        decode_enum(name, in, out);
    else if constexpr (std::is_same_v<T, bool>)
    {
        if (!in.is_boolean())
            fail(name, "true or false");
        out = in.get<bool>();
    }
    else if constexpr (std::is_unsigned_v<T>)
        decode_number(name, in, out);
    else if constexpr (std::is_same_v<T, std::string>)
    {
        if (!in.is_string())
            fail(name, "text");
        out = in.get<std::string>();
    }
    else if constexpr (strong<T>)
    {
        typename T::value_type value{};
        decode(name, in, value);
        out = T(std::move(value));
    }
    else
        out = decode_fields<T>(in);
}

} // namespace cowslippass::json_fields
