#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace cowslippass
{

/// A value of type `Value` that cannot be mixed up with ids or numbers of
/// another kind.
/// @tparam Tag type that distinguishes the kind; never instantiated.
/// @tparam Value type of the plain value, such as a string or an integer.
template <class Tag, class Value>
class strong_id
{
public:
    using value_type = Value;

    strong_id() = default;
    explicit strong_id(Value value) : value_(std::move(value)) {}

    /// @return the plain value, for output and encoding.
    const Value& get() const { return value_; }

    auto operator<=>(const strong_id&) const = default;

private:
    Value value_{};
};

using team_id = strong_id<struct team_tag, std::string>;
using pool_id = strong_id<struct pool_tag, std::string>;
using queue_id = strong_id<struct queue_tag, std::string>;
using instance_id = strong_id<struct instance_tag, std::string>;
using data_centre_id = strong_id<struct data_centre_tag, std::string>;
using rack_id = strong_id<struct rack_tag, std::string>;
using entry_id = strong_id<struct entry_tag, std::string>;
using request_id = strong_id<struct request_tag, std::string>;
using job_id = strong_id<struct job_tag, std::string>;
using task_id = strong_id<struct task_tag, std::string>;
/// Identifies a caller's key or an operator without revealing its secret.
using key_id = strong_id<struct key_tag, std::string>;
/// Identifies one operator command, so that a retry does not apply it twice.
using command_id = strong_id<struct command_tag, std::string>;

/// Number of one run of an entry daemon's process; never reused.
using session_id = strong_id<struct session_tag, std::uint64_t>;
/// Position of a record in the fleet log; 0 stands for the empty log.
using config_version = strong_id<struct config_version_tag, std::uint64_t>;
/// Version of a platform row; 0 means that the row is absent.
using row_version = strong_id<struct row_version_tag, std::uint64_t>;
/// Increases with each new holder of a lease, so that a request of a former
/// holder can be recognised and refused.
using fencing_token = strong_id<struct fencing_token_tag, std::uint64_t>;

} // namespace cowslippass

template <class Tag, class Value>
struct std::hash<cowslippass::strong_id<Tag, Value>>
{
    std::size_t operator()(
        const cowslippass::strong_id<Tag, Value>& id) const noexcept
    {
        return std::hash<Value>()(id.get());
    }
};
