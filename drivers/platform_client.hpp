#pragma once

#include "core/core.hpp"
#include "drivers/http_client.hpp"
#include "drivers/platform_clock.hpp"
#include "drivers/platform_store.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// Receives one notification for each call to the platform.
/// @param seconds duration of the call.
/// @param is_failed the platform did not respond or reported a server error.
using platform_call_observer = std::function<void(
    const std::string& operation, double seconds, bool is_failed)>;

/// `platform_store` over the platform's HTTP API.
class platform_client : public platform_store
{
public:
    platform_client(asio::io_context& io, const tcp::endpoint& platform);

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
    list_leaving_instances() override;

    void set_call_observer(platform_call_observer observer)
    {
        observer_ = std::move(observer);
    }

    /// Caches an instance list that another entry has read.
    /// @param tag ETag of the list.
    /// @param leaving the instances that the list names as leaving.
    void set_instance_list(std::string tag, std::vector<instance_id> leaving);

    /// @return ETag of the cached instance list; empty when there is none.
    const std::string& get_instance_list_etag() const
    {
        return instance_list_etag_;
    }

    /// @return whether the last request got a response without a server error.
    bool is_reachable() const { return is_reachable_; }

private:
    /// Sends a request, updates the clock and notifies the observer.
    asio::awaitable<http_result> send(
        std::string operation, http_request request);
    /// Like `send`.
    /// @return nothing when the platform did not respond or reported a server
    ///   error.
    asio::awaitable<std::optional<http_response>> fetch(
        std::string operation, http_request request);

    http_client client_;
    platform_clock clock_;
    platform_call_observer observer_;
    bool is_reachable_ = false;
    std::string instance_list_etag_;             ///< Of the cached list.
    std::vector<instance_id> leaving_instances_; ///< As that list names them.
};

} // namespace cowslippass
