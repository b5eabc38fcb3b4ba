#pragma once

#include "core/strong_id.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cowslippass
{

/// One row of the table that the platform stores.
struct row
{
    std::string key;
    std::string value;   ///< JSON text.
    row_version version; ///< 0 when the row is absent.
};

/// Requires that the row's version is exactly `version`; 0 requires that the
/// row is absent.
struct row_condition
{
    std::string key;
    row_version version;
};

/// Sets a row, or deletes it when `value` has no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// A set of writes that take effect together, or not at all when a condition
/// fails.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// What the caller learns of a transaction that it sent.
enum class transaction_outcome
{
    committed,
    conflict,    ///< A condition failed; nothing was written.
    unavailable, ///< It was not sent, or the platform refused it.
    unknown ///< The reply was lost; the writes may have taken effect or not.
};

} // namespace cowslippass
