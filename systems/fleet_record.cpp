#include "systems/fleet_record.hpp"

#include "systems/fleet_record_fields.hpp"

#include <map>

namespace cowslippass
{

namespace
{

using json_fields::json;

constexpr const char* type_key = "type";

using record_decoder = fleet_record (*)(const json&);
using decoder_table = std::map<std::string, record_decoder>;

template <class Record>
fleet_record decode_one(const json& in)
{
    return json_fields::decode_fields<Record>(in, type_key);
}

/// Has one entry for each alternative of the variant, so that no kind of
/// record can be left out.
template <class... Records>
decoder_table make_decoders(const std::variant<Records...>*)
{
    return {{json_fields::fields_of<Records>::type, &decode_one<Records>}...};
}

const decoder_table& get_decoders()
{
    static const decoder_table table =
        make_decoders(static_cast<const fleet_record*>(nullptr));
    return table;
}

json encode_record(const fleet_record& record)
{
    check_record(record);
    return std::visit(
        []<class Record>(const Record& it)
        {
            json out = json_fields::encode_fields(it);
            out[type_key] = json_fields::fields_of<Record>::type;
            return out;
        },
        record);
}

fleet_record decode_record(const json& in)
{
    auto type = in.find(type_key);
    if (type == in.end() || !type->is_string())
        throw systems_error("bad_record", "a record has no type");
    auto it = get_decoders().find(type->get<std::string>());
    if (it == get_decoders().end())
        throw systems_error("bad_record",
            "the record type '" + type->get<std::string>() + "' is unknown");
    return it->second(in);
}

} // namespace

std::string get_name(queue_kind kind)
{
    return json_fields::encode(kind).get<std::string>();
}

std::string get_name(instance_state state)
{
    return json_fields::encode(state).get<std::string>();
}

void check_record(const fleet_record& record)
{
    std::visit([](const auto& it) { json_fields::check_fields(it); }, record);
}

std::string encode_records(const std::vector<fleet_record>& records)
{
    json out = json::array();
    for (const fleet_record& it : records)
        out.push_back(encode_record(it));
    return out.dump();
}

std::vector<fleet_record> decode_records(const std::string& text)
{
    json in = json::parse(text, nullptr, false);
    if (!in.is_array())
        throw systems_error("bad_record", "the text is not a JSON array");
    std::vector<fleet_record> out;
    out.reserve(in.size());
    for (const json& it : in)
        out.push_back(decode_record(it));
    return out;
}

} // namespace cowslippass
