#include "main/work_item.hpp"

#include <array>

namespace cowslippass
{

namespace
{

constexpr std::array<const char*, 3> run_names{"no", "yes", "unknown"};

run_answer parse_run(const std::string& text)
{
    for (std::size_t i = 0; i < run_names.size(); ++i)
        if (text == run_names[i])
            return static_cast<run_answer>(i);
    return run_answer::unknown;
}

} // namespace

std::string get_name(run_answer run)
{
    return run_names[static_cast<std::size_t>(run)];
}

work_result make_failure(unsigned status, const std::string& code,
    const std::string& message, run_answer run)
{
    return {status, code, message, run, {}};
}

run_answer get_unclaimed_answer(bool is_idempotent, bool is_first_attempt)
{
    return is_idempotent || is_first_attempt ? run_answer::no
                                             : run_answer::unknown;
}

work_result to_work_result(const peer_forward_reply& reply)
{
    return {reply.status, reply.code, reply.message, parse_run(reply.run),
        reply.payload};
}

peer_forward_reply to_forward_reply(const work_result& result)
{
    return {result.status, result.code, result.message, get_name(result.run),
        result.payload};
}

} // namespace cowslippass
