#pragma once

#include "main/node_context.hpp"
#include "main/pool_runner.hpp"

namespace cowslippass
{

class claim_keeper
{
public:
    using runner_finder =
        std::function<std::shared_ptr<pool_runner>(const pool_id&)>;
    claim_keeper(node_context& node, runner_finder find_runner) : node_(node)
    {
        (void)find_runner;
    }
    asio::awaitable<work_result> run(
        std::shared_ptr<pool_runner> runner, work_item item)
    {
        (void)runner;
        (void)item;
        co_return make_failure(503, "todo", "todo", run_answer::no);
    }
    asio::awaitable<work_result> find_outcome(team_id, queue_id, request_id)
    {
        co_return make_failure(503, "todo", "todo", run_answer::no);
    }

private:
    node_context& node_;
};

} // namespace cowslippass
