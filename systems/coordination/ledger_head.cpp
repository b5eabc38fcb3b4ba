#include "systems/coordination/ledger_head.hpp"

#include <nlohmann/json.hpp>

namespace cowslippass
{

using json = nlohmann::json;

std::string encode_ledger_head(const ledger_head& head)
{
    return json{{"term", head.term.get()}, {"holder", head.holder},
        {"entry", head.entry}, {"address", head.address},
        {"top_share", head.top_processor_share}, {"batch", head.batch},
        {"released", head.is_released}}
        .dump();
}

ledger_head decode_ledger_head(const std::string& text)
{
    try
    {
        json in = json::parse(text);
        ledger_head out;
        out.term = fencing_token(in.at("term").get<std::uint64_t>());
        in.at("holder").get_to(out.holder);
        in.at("entry").get_to(out.entry);
        in.at("address").get_to(out.address);
        in.at("top_share").get_to(out.top_processor_share);
        in.at("batch").get_to(out.batch);
        in.at("released").get_to(out.is_released);
        return out;
    }
    catch (const json::exception& e)
    {
        throw systems_error("bad_head", e.what());
    }
}

} // namespace cowslippass
