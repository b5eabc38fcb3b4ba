#include "drivers/peer_message.hpp"

#include "drivers/generated/peer_message_generated.h"

#include <algorithm>

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

std::string read_text(const flatbuffers::String* text)
{
    return text ? text->str() : std::string();
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
    return {wire::body::coordinator_call,
        wire::Createcoordinator_call(out,
            static_cast<wire::coordinator_operation>(body.operation), job,
            queue, team, spec, body.processor_share)
            .Union()};
}

body_offset write_body(builder& out, const peer_coordinator_reply& body)
{
    auto boot = out.CreateString(body.boot);
    auto to_u32 = [](milliseconds it)
    {
        std::int64_t n = std::clamp<std::int64_t>(it.count(), 0, UINT32_MAX);
        return static_cast<std::uint32_t>(n);
    };
    return {wire::body::coordinator_reply,
        wire::Createcoordinator_reply(out,
            static_cast<wire::coordinator_result>(body.result), body.phase,
            body.count, to_u32(body.retry_after), to_u32(body.renewal_age),
            boot, body.top_processor_share)
            .Union()};
}

peer_coordinator_call read_call(const wire::coordinator_call& body)
{
    return {static_cast<coordinator_operation>(body.operation()),
        job_id(read_text(body.job())), queue_id(read_text(body.queue())),
        team_id(read_text(body.team())), read_bytes(body.spec()),
        body.processor_share()};
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
    default:
        throw platform_error(
            "malformed_frame", "a peer sent a message of unknown type");
    }
}

} // namespace

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
