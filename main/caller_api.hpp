#pragma once

#include "drivers/http_message.hpp"
#include "main/node_context.hpp"
#include "main/work_item.hpp"
#include "systems/admission.hpp"

namespace cowslippass
{

/// What callers can do; implemented by the parts that do it.
struct caller_services
{
    /// Runs an urgent request to its end.
    std::function<asio::awaitable<work_result>(peer_forward)> run_urgent;
    /// Accepts a slow job; the payload of a success is the job id.
    std::function<asio::awaitable<work_result>(
        peer_forward, queue_record queue)>
        accept_job;
    /// Tells the outcome of a non-idempotent request.
    std::function<asio::awaitable<work_result>(team_id, queue_id, request_id)>
        find_outcome;
    /// Tells a job's state; the payload is JSON.
    std::function<asio::awaitable<work_result>(team_id, job_id)> find_job;
    std::function<asio::awaitable<work_result>(team_id, job_id)> fetch_result;
    std::function<asio::awaitable<work_result>(team_id, job_id)> cancel_job;
};

/// The callers' HTTP interface.
class caller_api
{
public:
    caller_api(node_context& node, caller_services services);

    /// @return nothing when the path is not of this interface.
    asio::awaitable<std::optional<http_response>> handle(
        const http_request& request);

private:
    asio::awaitable<http_response> post_request(
        const http_request& request, queue_id queue);
    asio::awaitable<http_response> get_outcome(
        const http_request& request, request_id id);
    asio::awaitable<http_response> handle_job(
        const http_request& request, std::string rest);
    /// @return whether a request may have run, when it is refused before its
    ///   claim or job is looked up: a repeat may follow an attempt that ran.
    run_answer get_refusal_answer(
        const http_request& request, const queue_id& queue) const;
    /// @return a refusal when the caller says that it first sent the request
    ///   so long ago that its id may be forgotten.
    std::optional<http_response> check_age(
        const http_request& request, milliseconds deadline) const;
    peer_forward read_request(
        const http_request& request, const admission& admitted) const;

    node_context& node_;
    caller_services services_;
};

/// @return the JSON body of an error, with its status.
http_response make_error_response(unsigned status, const std::string& code,
    const std::string& message, run_answer run);

} // namespace cowslippass
