#include "drivers/peer_message.hpp"

#include "drivers/generated/peer_message_generated.h"

#include <algorithm>
#include <array>

namespace cowslippass
{

namespace
{

using builder = flatbuffers::FlatBufferBuilder;

constexpr milliseconds max_list_age{1'000'000};

/// An encoded member of the union `body`.
struct body_offset
{
    wire::body type;
    flatbuffers::Offset<void> offset;
};

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> write_bytes(
    builder& out, const std::string& bytes)
{
    return out.CreateVector(
        reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

std::string read_bytes(const flatbuffers::Vector<std::uint8_t>* bytes)
{
    if (!bytes)
        return {};
    return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

/// @return the number of milliseconds, limited to the range of the type.
std::uint32_t to_u32(milliseconds time)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

std::string read_text(const flatbuffers::String* text)
{
    return text ? text->str() : std::string();
}

/// @return a null offset, which takes no space, for an empty text.
flatbuffers::Offset<flatbuffers::String> write_optional_text(
    builder& out, const std::string& text)
{
    return text.empty() ? 0 : out.CreateString(text);
}

/// @return a null offset, which takes no space, for no bytes.
flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> write_optional_bytes(
    builder& out, const std::string& bytes)
{
    return bytes.empty() ? 0 : write_bytes(out, bytes);
}

body_offset write_body(builder& out, const peer_hello& body)
{
    return {
        wire::body::hello, wire::Createhello(out, body.session.get()).Union()};
}

/// @return the vector; a null offset, which takes no space, for an empty one.
template <class Item>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Item>>>
write_vector(builder& out, const std::vector<flatbuffers::Offset<Item>>& items)
{
    if (items.empty())
        return 0;
    return out.CreateVector(items);
}

body_offset write_body(builder& out, const peer_summary& body)
{
    std::vector<flatbuffers::Offset<wire::pool_summary>> pools;
    pools.reserve(body.pools.size());
    for (const auto& it : body.pools)
        pools.push_back(
            wire::Createpool_summary(out, out.CreateString(it.pool.get()),
                it.free_slots, it.waiting, it.targets));
    std::vector<flatbuffers::Offset<wire::team_summary>> teams;
    teams.reserve(body.teams.size());
    for (const auto& it : body.teams)
        teams.push_back(
            wire::Createteam_summary(out, out.CreateString(it.team.get()),
                it.running, it.granted, it.waiting));
    std::vector<flatbuffers::Offset<flatbuffers::String>> leaving;
    leaving.reserve(body.leaving.size());
    for (const auto& it : body.leaving)
        leaving.push_back(out.CreateString(it.get()));
    auto pool_vector = write_vector(out, pools);
    auto team_vector = write_vector(out, teams);
    auto leaving_vector = write_vector(out, leaving);
    flatbuffers::Offset<flatbuffers::String> tag = 0;
    if (!body.instance_list_etag.empty())
        tag = out.CreateString(body.instance_list_etag);
    std::int64_t age = body.freshness_age ? body.freshness_age->count() : -1;
    // A list older than the limit is useless; it is sent as no list.
    std::int32_t instance_list_age = -1;
    if (body.instance_list_age && body.instance_list_age <= max_list_age)
        instance_list_age =
            static_cast<std::int32_t>(body.instance_list_age->count());
    return {wire::body::summary,
        wire::Createsummary(out, body.session.get(), body.version.get(), age,
            body.is_platform_reachable, body.has_unresolved_change,
            body.is_leaving, body.is_admitted, pool_vector, team_vector,
            body.revision, body.known_revision, !body.has_lists,
            instance_list_age, tag, leaving_vector)
            .Union()};
}

body_offset write_body(builder& out, const peer_forward& body)
{
    auto request = out.CreateString(body.request.get());
    auto team = out.CreateString(body.team.get());
    auto queue = out.CreateString(body.queue.get());
    auto payload = write_bytes(out, body.payload);
    auto run_ms = out.CreateString(body.run_ms);
    return {wire::body::forward,
        wire::Createforward(out, request, team, queue, payload,
            body.deadline.count(), body.declared_memory.get(), run_ms,
            body.version.get(), body.is_first_attempt)
            .Union()};
}

body_offset write_body(builder& out, const peer_forward_reply& body)
{
    auto code = out.CreateString(body.code);
    auto message = out.CreateString(body.message);
    auto run = out.CreateString(body.run);
    auto payload = write_bytes(out, body.payload);
    return {wire::body::forward_reply,
        wire::Createforward_reply(out, static_cast<std::uint16_t>(body.status),
            code, message, run, payload)
            .Union()};
}

body_offset write_body(builder& out, const peer_cancel& body)
{
    auto job = out.CreateString(body.job.get());
    return {wire::body::cancel, wire::Createcancel(out, job).Union()};
}

body_offset write_body(builder& out, const peer_query& body)
{
    auto text = out.CreateString(body.text);
    return {wire::body::query, wire::Createquery(out, text).Union()};
}

body_offset write_body(builder& out, const peer_query_reply& body)
{
    auto json = out.CreateString(body.json);
    return {
        wire::body::query_reply, wire::Createquery_reply(out, json).Union()};
}

body_offset write_body(builder& out, const peer_coordinator_call& body)
{
    auto job = out.CreateString(body.job.get());
    auto queue = out.CreateString(body.queue.get());
    auto team = out.CreateString(body.team.get());
    auto spec = write_bytes(out, body.spec);
    auto entry = write_optional_text(out, body.entry.get());
    auto address = write_optional_text(out, body.address);
    auto data_centre = write_optional_text(out, body.data_centre.get());
    return {wire::body::coordinator_call,
        wire::Createcoordinator_call(out,
            static_cast<wire::coordinator_operation>(body.operation), job,
            queue, team, spec, body.processor_share, entry, address,
            data_centre, body.is_leaving)
            .Union()};
}

body_offset write_body(builder& out, const peer_coordinator_reply& body)
{
    auto boot = out.CreateString(body.boot);
    return {wire::body::coordinator_reply,
        wire::Createcoordinator_reply(out,
            static_cast<wire::coordinator_result>(body.result), body.phase,
            body.count, to_u32(body.retry_after), to_u32(body.renewal_age),
            boot, body.top_processor_share)
            .Union()};
}

flatbuffers::Offset<wire::run_name> write_run_name(
    builder& out, const task_name& task, run_number run)
{
    auto job = out.CreateString(task.job.get());
    return wire::Createrun_name(out, job, task.key.occurrence, task.key.step,
        task.key.index, run.get());
}

body_offset write_body(builder& out, const peer_target_call& body)
{
    bool has_run = body.operation == target_operation::start ||
                   body.operation == target_operation::stop;
    bool is_start = body.operation == target_operation::start;
    flatbuffers::Offset<wire::run_name> run = 0;
    if (has_run)
        run = write_run_name(out, body.start.task, body.start.run);
    auto payload = write_optional_bytes(out, body.start.payload);
    auto saved = write_optional_bytes(out, body.start.saved);
    auto ticket = write_optional_text(out, body.start.ticket);
    auto boot = write_optional_text(out, body.relay_boot);
    auto target = write_optional_text(out, body.target.get());
    auto address = write_optional_text(out, body.address);
    bool has_lease = is_start || body.poll.lease_end.has_value();
    std::int64_t lease =
        is_start ? body.start.lease_end.get()
                 : body.poll.lease_end.value_or(target_time()).get();
    return {wire::body::target_call,
        wire::Createtarget_call(out,
            static_cast<wire::target_operation>(body.operation), boot, target,
            address, body.fence.get(), body.valid_until.get(),
            to_u32(body.timeout), run, payload, saved, ticket, has_lease, lease,
            body.poll.acknowledged.up_to, to_u32(body.poll.wait),
            body.poll.acknowledged.incarnation_start.get())
            .Union()};
}

flatbuffers::Offset<wire::target_status> write_status(
    builder& out, const target_status& status)
{
    std::vector<flatbuffers::Offset<wire::running_run>> running;
    running.reserve(status.running.size());
    for (const running_report& it : status.running)
    {
        auto run = write_run_name(out, it.task, it.run);
        auto saved = write_optional_bytes(out, it.saved);
        running.push_back(wire::Createrunning_run(
            out, run, saved, it.percent, it.measured_value));
    }
    std::vector<flatbuffers::Offset<wire::ended_run>> ended;
    ended.reserve(status.ended.size());
    for (const end_report& it : status.ended)
    {
        auto run = write_run_name(out, it.task, it.run);
        auto saved = write_optional_bytes(out, it.saved);
        ended.push_back(wire::Createended_run(
            out, it.number, run, static_cast<std::uint8_t>(it.end), saved));
    }
    auto running_vector = write_vector(out, running);
    auto ended_vector = write_vector(out, ended);
    return wire::Createtarget_status(out, status.clock.get(),
        status.incarnation_start.get(), running_vector, ended_vector);
}

body_offset write_body(builder& out, const peer_target_reply& body)
{
    flatbuffers::Offset<wire::target_status> status = 0;
    if (body.status)
        status = write_status(out, *body.status);
    auto message = write_optional_text(out, body.message);
    auto boot = write_optional_text(out, body.relay_boot);
    return {wire::body::target_reply,
        wire::Createtarget_reply(out, static_cast<std::uint8_t>(body.outcome),
            message, body.clock.has_value(),
            body.clock.value_or(target_time()).get(), status,
            body.relay_clock.get(), boot, body.is_leaving, body.is_rejected)
            .Union()};
}

peer_coordinator_call read_call(const wire::coordinator_call& body)
{
    return {static_cast<coordinator_operation>(body.operation()),
        job_id(read_text(body.job())), queue_id(read_text(body.queue())),
        team_id(read_text(body.team())), read_bytes(body.spec()),
        body.processor_share(), entry_id(read_text(body.entry())),
        read_text(body.address()),
        data_centre_id(read_text(body.data_centre())), body.is_leaving()};
}

task_name read_task(const wire::run_name& name)
{
    return {job_id(name.job()->str()),
        {name.occurrence(), name.step(), name.index()}};
}

peer_target_call read_target_call(const wire::target_call& body)
{
    peer_target_call out;
    if (body.operation() > wire::target_operation::MAX)
        throw platform_error("malformed_frame",
            "a peer sent a request to a target of unknown type");
    out.operation = static_cast<target_operation>(body.operation());
    bool has_run = out.operation == target_operation::start ||
                   out.operation == target_operation::stop;
    if (has_run && !body.run())
        throw platform_error("malformed_frame",
            "a peer sent a request for a run without its name");
    out.relay_boot = read_text(body.relay_boot());
    out.target = target_id(read_text(body.target()));
    out.address = read_text(body.address());
    out.fence = fencing_token(body.fence());
    out.valid_until = relay_time(body.valid_until_ms());
    out.timeout = milliseconds(body.timeout_ms());
    if (has_run)
    {
        out.start.task = read_task(*body.run());
        out.start.run = run_number(body.run()->run());
    }
    out.start.payload = read_bytes(body.payload());
    out.start.saved = read_bytes(body.saved());
    out.start.ticket = read_text(body.ticket());
    out.start.lease_end = target_time(body.lease_end());
    if (body.has_lease_end())
        out.poll.lease_end = target_time(body.lease_end());
    out.poll.acknowledged = {platform_time(body.acknowledged_incarnation()),
        body.acknowledged_up_to()};
    out.poll.wait = milliseconds(body.wait_ms());
    return out;
}

target_status read_status(const wire::target_status& body)
{
    target_status out;
    out.clock = target_time(body.clock());
    out.incarnation_start = platform_time(body.incarnation_start());
    if (body.running())
    {
        out.running.reserve(body.running()->size());
        for (const auto* it : *body.running())
            out.running.push_back({read_task(*it->run()),
                run_number(it->run()->run()), read_bytes(it->saved()),
                it->percent(), it->measured_value()});
    }
    if (body.ended())
    {
        out.ended.reserve(body.ended()->size());
        for (const auto* it : *body.ended())
        {
            if (it->end() > static_cast<unsigned>(run_outcome::gang_incomplete))
                throw platform_error("malformed_frame",
                    "a peer sent an end of a run of unknown type");
            end_report end;
            end.number = it->number();
            if (it->run())
            {
                end.task = read_task(*it->run());
                end.run = run_number(it->run()->run());
            }
            end.end = static_cast<run_outcome>(it->end());
            end.saved = read_bytes(it->saved());
            out.ended.push_back(std::move(end));
        }
    }
    return out;
}

peer_target_reply read_target_reply(const wire::target_reply& body)
{
    if (body.outcome() > static_cast<unsigned>(request_outcome::no_answer))
        throw platform_error("malformed_frame",
            "a peer sent an answer of a target of unknown type");
    peer_target_reply out;
    out.outcome = static_cast<request_outcome>(body.outcome());
    out.message = read_text(body.message());
    if (body.has_clock())
        out.clock = target_time(body.clock());
    if (body.status())
        out.status = read_status(*body.status());
    out.relay_clock = relay_time(body.relay_clock_ms());
    out.relay_boot = read_text(body.relay_boot());
    out.is_leaving = body.is_leaving();
    out.is_rejected = body.is_rejected();
    return out;
}

peer_coordinator_reply read_reply(const wire::coordinator_reply& body)
{
    return {static_cast<coordinator_result>(body.result()), body.phase(),
        body.count(), milliseconds(body.retry_after_ms()),
        milliseconds(body.renewed_age_ms()), read_text(body.boot()),
        body.top_processor_share()};
}

peer_summary read_summary(const wire::summary& body)
{
    peer_summary out;
    out.session = session_id(body.session());
    out.version = config_version(body.version());
    if (body.freshness_age_ms() >= 0)
        out.freshness_age = milliseconds(body.freshness_age_ms());
    out.is_platform_reachable = body.is_platform_reachable();
    out.has_unresolved_change = body.has_unresolved_change();
    out.is_leaving = body.is_leaving();
    out.is_admitted = body.is_admitted();
    out.revision = body.revision();
    out.known_revision = body.known_revision();
    out.has_lists = !body.has_no_lists();
    if (body.list_age_ms() >= 0)
        out.instance_list_age = milliseconds(body.list_age_ms());
    out.instance_list_etag = read_text(body.list_tag());
    if (body.leaving())
        for (const auto* it : *body.leaving())
            out.leaving.emplace_back(it->str());
    if (body.pools())
        for (const auto* it : *body.pools())
            out.pools.push_back({pool_id(it->pool()->str()), it->free_slots(),
                it->waiting(), it->targets()});
    if (body.teams())
        for (const auto* it : *body.teams())
            out.teams.push_back({team_id(it->team()->str()), it->running(),
                it->granted(), it->waiting()});
    return out;
}

peer_forward read_forward(const wire::forward& body)
{
    peer_forward out;
    out.request = request_id(body.request()->str());
    out.team = team_id(body.team()->str());
    out.queue = queue_id(body.queue()->str());
    out.payload = read_bytes(body.payload());
    out.deadline = milliseconds(body.deadline_ms());
    out.declared_memory = byte_count(body.declared_memory());
    out.run_ms = read_text(body.run_ms());
    out.version = config_version(body.version());
    out.is_first_attempt = body.is_first_attempt();
    return out;
}

peer_body read_body(const wire::message& message)
{
    switch (message.body_type())
    {
    case wire::body::hello:
        return peer_hello{session_id(message.body_as_hello()->session())};
    case wire::body::summary:
        return read_summary(*message.body_as_summary());
    case wire::body::forward:
        return read_forward(*message.body_as_forward());
    case wire::body::forward_reply:
    {
        const auto* body = message.body_as_forward_reply();
        return peer_forward_reply{body->status(), read_text(body->code()),
            read_text(body->message()), read_text(body->run()),
            read_bytes(body->payload())};
    }
    case wire::body::cancel:
        return peer_cancel{job_id(message.body_as_cancel()->job()->str())};
    case wire::body::query:
        return peer_query{message.body_as_query()->text()->str()};
    case wire::body::query_reply:
        return peer_query_reply{
            read_text(message.body_as_query_reply()->json())};
    case wire::body::coordinator_call:
        return read_call(*message.body_as_coordinator_call());
    case wire::body::coordinator_reply:
        return read_reply(*message.body_as_coordinator_reply());
    case wire::body::target_call:
        return read_target_call(*message.body_as_target_call());
    case wire::body::target_reply:
        return read_target_reply(*message.body_as_target_reply());
    default:
        throw platform_error(
            "malformed_frame", "a peer sent a message of unknown type");
    }
}

} // namespace

const char* to_string(target_operation operation)
{
    constexpr std::array names{"probe", "poll", "start", "stop"};
    return names.at(static_cast<std::size_t>(operation));
}

std::string encode_peer_message(const peer_message& message)
{
    builder out(1024);
    body_offset body = std::visit(
        [&](const auto& it) { return write_body(out, it); }, message.body);
    out.Finish(wire::Createmessage(
        out, message.correlation, message.is_reply, body.type, body.offset));
    return {
        reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

peer_message decode_peer_message(const std::string& buf)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(buf.data());
    flatbuffers::Verifier verifier(data, buf.size());
    if (!wire::VerifymessageBuffer(verifier))
        throw platform_error(
            "malformed_frame", "a peer sent a frame that fails verification");
    const wire::message* message = wire::Getmessage(data);
    return {message->correlation(), message->is_reply(), read_body(*message)};
}

} // namespace cowslippass
