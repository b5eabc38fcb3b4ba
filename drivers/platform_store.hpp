#pragma once

#include "core/core.hpp"
#include "drivers/asio.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// Outcome of a conditional transaction on the platform's table.
struct transaction_result
{
    transaction_outcome outcome = transaction_outcome::unavailable;
    std::map<std::string, row_version> versions; ///< New, by key of the row.
    std::vector<std::string> failed; ///< Keys of the conditions that failed.
};

/// One page of a scan.
struct scan_result
{
    std::vector<row> rows; ///< Ordered by key.
    bool has_more = false;
};

/// Interface to the platform's transactional table, object store and instance
/// list.
class platform_store
{
public:
    virtual ~platform_store() = default;

    /// Applies all writes if all conditions hold, else none.
    virtual asio::awaitable<transaction_result> commit(transaction tx) = 0;

    /// @return the row, with version 0 when it is absent; nothing when the
    ///   platform did not respond.
    virtual asio::awaitable<std::optional<row>> read(std::string key) = 0;

    /// Reads the rows whose keys begin with `prefix`, in the order of keys.
    /// @param after key after which the scan starts; empty for the first row.
    /// @param limit maximum number of rows.
    /// @return nothing when the platform did not respond.
    virtual asio::awaitable<std::optional<scan_result>> scan(
        std::string prefix, std::string after, std::size_t limit) = 0;

    /// @return whether the object was stored.
    virtual asio::awaitable<bool> put_object(
        std::string name, std::string bytes) = 0;

    /// @return the bytes; nothing when the object is absent or the platform
    ///   did not respond.
    virtual asio::awaitable<std::optional<std::string>> get_object(
        std::string name) = 0;

    /// @return whether the object is known to be absent now.
    virtual asio::awaitable<bool> delete_object(std::string name) = 0;

    /// @return the time by the platform's clock; 0 before its first response.
    virtual platform_time get_time() const = 0;

    /// @return the instances that the platform's instance list names as
    ///   leaving; nothing when the platform did not respond.
    virtual asio::awaitable<std::optional<std::vector<instance_id>>>
    list_leaving_instances() = 0;
};

} // namespace cowslippass
