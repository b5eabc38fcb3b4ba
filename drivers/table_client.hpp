#pragma once

#include "core/core.hpp"
#include "drivers/http_client.hpp"
#include "drivers/platform_clock.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

struct transaction_result
{
    transaction_outcome outcome = transaction_outcome::unavailable;
    std::map<std::string, row_version> versions; ///< Of the rows written.
    std::vector<std::string> failed; ///< Keys of the conditions that failed.
};

struct scan_result
{
    std::vector<row> rows; ///< Ordered by key.
    bool has_more = false;
};

/// The platform's transactional table, object store and instance list.
class table_service
{
public:
    virtual ~table_service() = default;

    virtual asio::awaitable<transaction_result> commit(transaction tx) = 0;

    /// @return the row, with version 0 when it is absent; nothing when the
    ///   platform did not answer.
    virtual asio::awaitable<std::optional<row>> read(std::string key) = 0;

    /// @param after key after which the scan starts; empty for the beginning.
    virtual asio::awaitable<std::optional<scan_result>> scan(
        std::string prefix, std::string after, std::size_t limit) = 0;

    /// @return whether the object was stored.
    virtual asio::awaitable<bool> put_object(
        std::string name, std::string bytes) = 0;

    /// @return the bytes; nothing when the object is absent or the platform
    ///   did not answer.
    virtual asio::awaitable<std::optional<std::string>> get_object(
        std::string name) = 0;

    /// @return whether the object is absent now.
    virtual asio::awaitable<bool> delete_object(std::string name) = 0;

    /// @return the time by the platform's clock, as far as its answers told;
    ///   0 when none did.
    virtual platform_time get_time() const = 0;

    /// @return the ids of instances that are listed as leaving, or nothing
    ///   when the platform did not answer.
    virtual asio::awaitable<std::optional<std::vector<instance_id>>>
    list_leaving() = 0;
};

/// Is told of each call to the platform: the operation, its time in seconds,
/// and whether the platform gave no answer or a server error.
using call_observer = std::function<void(
    const std::string& operation, double seconds, bool is_failed)>;

/// `table_service` over the platform's HTTP interface.
class table_client : public table_service
{
public:
    table_client(asio::io_context& io, const tcp::endpoint& platform);

    asio::awaitable<transaction_result> commit(transaction tx) override;
    asio::awaitable<std::optional<row>> read(std::string key) override;
    asio::awaitable<std::optional<scan_result>> scan(
        std::string prefix, std::string after, std::size_t limit) override;
    asio::awaitable<bool> put_object(
        std::string name, std::string bytes) override;
    asio::awaitable<std::optional<std::string>> get_object(
        std::string name) override;
    asio::awaitable<bool> delete_object(std::string name) override;
    platform_time get_time() const override;
    asio::awaitable<std::optional<std::vector<instance_id>>>
    list_leaving() override;

    void set_observer(call_observer observer)
    {
        observer_ = std::move(observer);
    }

    /// Takes over what another entry has read.
    /// @param tag ETag of the list.
    void note_list(std::string tag, std::vector<instance_id> leaving);

    /// @return ETag of the list known last.
    const std::string& get_list_tag() const { return list_tag_; }

    /// @return whether the last request got an answer.
    bool is_reachable() const { return is_reachable_; }

private:
    /// Sends a request, notes the platform's clock and reports the call.
    asio::awaitable<http_result> send(
        std::string operation, http_request request);
    asio::awaitable<std::optional<http_response>> fetch(
        std::string operation, http_request request);

    http_client client_;
    platform_clock clock_;
    call_observer observer_;
    bool is_reachable_ = false;
    std::string list_tag_; ///< ETag of the list known last.
    std::vector<instance_id> leaving_;
};

} // namespace cowslippass
