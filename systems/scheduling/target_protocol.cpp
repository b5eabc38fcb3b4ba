#include "systems/scheduling/target_protocol.hpp"

#include "core/hashing.hpp"

#include <array>
#include <boost/container_hash/hash.hpp>

namespace cowslippass
{

std::size_t task_name_hash::operator()(const task_name& task) const
{
    std::size_t out = hash_64(task.job.get());
    boost::hash_combine(out, task.key.occurrence);
    boost::hash_combine(out, task.key.step);
    boost::hash_combine(out, task.key.index);
    return out;
}

const char* to_string(request_outcome outcome)
{
    static constexpr std::array names{"accepted", "stale_fence", "superseded",
        "too_late", "no_room", "no_ticket", "invalid", "wrong_life",
        "unavailable", "not_sent", "no_answer"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace cowslippass
