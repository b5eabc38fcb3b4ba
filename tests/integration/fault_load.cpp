#include "tests/integration/fault_load.hpp"

#include <algorithm>
#include <limits>
#include <stdexcept>

namespace cowslippass
{

std::vector<recorded_start> list_starts(
    test_fleet& fleet, std::int64_t since_unix_ms)
{
    constexpr auto never = std::numeric_limits<std::int64_t>::max();
    std::vector<recorded_start> out;
    for (const auto& it : fleet.get_cluster().get_targets())
    {
        nlohmann::json runs =
            fetch_json(it.get_direct_endpoint(), "GET", "/control/runs");
        for (const auto& start : runs.at("starts"))
        {
            recorded_start found{it.id, it.data_centre,
                start.at("request_id").get<std::string>(),
                start.at("kind").get<std::string>(),
                start.at("owner").get<std::string>(),
                start.at("unix_ms").get<std::int64_t>(),
                start.value("ended_unix_ms", never)};
            if (found.started_ms >= since_unix_ms)
                out.push_back(found);
        }
    }
    std::ranges::sort(out, {}, &recorded_start::started_ms);
    return out;
}

std::vector<std::size_t> count_running_at_starts(
    const std::vector<recorded_start>& starts)
{
    std::vector<std::size_t> out;
    for (std::size_t i = 0; i < starts.size(); ++i)
    {
        std::size_t n = 1;
        for (std::size_t j = 0; j < i; ++j)
            n += starts[j].ended_ms > starts[i].started_ms;
        out.push_back(n);
    }
    return out;
}

std::size_t find_highest_running(const std::vector<recorded_start>& starts)
{
    auto counts = count_running_at_starts(starts);
    return counts.empty() ? 0 : *std::ranges::max_element(counts);
}

std::size_t find_pool_owner(test_fleet& fleet, const std::string& data_centre)
{
    constexpr std::size_t whole_log = std::numeric_limits<std::size_t>::max();
    auto& entries = fleet.get_cluster().get_entries();
    std::size_t owner = entries.size();
    wait_until(
        [&]
        {
            for (std::size_t i = 0; i < entries.size(); ++i)
            {
                if (entries[i].data_centre != data_centre)
                    continue;
                std::string log = entries[i].process->get_errors(whole_log);
                auto took = log.rfind("took over the pool");
                auto handed = log.rfind("handed over the pool");
                bool is_owner = took != std::string::npos &&
                                (handed == std::string::npos || took > handed);
                if (is_owner)
                    owner = i;
            }
            return owner != entries.size();
        },
        milliseconds(20'000));
    if (owner == entries.size())
        throw std::runtime_error("no entry of " + data_centre + " owns a pool");
    return owner;
}

std::string find_session(const cluster_entry& entry)
{
    constexpr std::size_t whole_log = std::numeric_limits<std::size_t>::max();
    std::string log = entry.process->get_errors(whole_log);
    std::size_t at = log.rfind("joined the fleet");
    if (at == std::string::npos)
        throw std::runtime_error(entry.id + " has no session");
    log = log.substr(at, log.find('\n', at) - at);
    const std::string field = "\"session\":";
    std::size_t digits = log.find_first_of("0123456789", log.find(field));
    return log.substr(
        digits, log.find_first_not_of("0123456789", digits) - digits);
}

caller_load::caller_load(test_fleet& fleet, caller_request request,
    std::size_t callers, std::vector<std::size_t> entries)
    : fleet_(fleet), request_(std::move(request)), entries_(std::move(entries))
{
    for (std::size_t i = 0; i < callers; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

caller_load::~caller_load()
{
    stop();
}

void caller_load::stop()
{
    is_stopped_ = true;
    for (auto& it : threads_)
        it.join();
    threads_.clear();
}

void caller_load::run(std::size_t caller)
{
    for (std::size_t i = caller; !is_stopped_; ++i)
    {
        caller_request request = request_;
        request.payload += std::to_string(caller) + "-" + std::to_string(i);
        caller_answer answer =
            fleet_.post(request, entries_[i % entries_.size()]);
        if (!answer.is_ok())
        {
            std::this_thread::sleep_for(milliseconds(20));
            continue;
        }
        ++successes_;
        if (answer.body != get_expected_result(request.payload))
            ++wrong_;
    }
}

} // namespace cowslippass
