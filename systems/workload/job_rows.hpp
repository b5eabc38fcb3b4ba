#pragma once

#include "systems/workload/job_record.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cowslippass
{

/// Key of a row of a job in a table of the ledger. Texts that exceed the
/// store's limit on a row are stored in several rows: one with the job's id as
/// its key, and numbered parts.
struct job_row_key
{
    job_id job;
    std::optional<std::uint32_t> part; ///< Not set for the job's main row.

    bool operator==(const job_row_key&) const = default;
};

std::string encode_job_row_key(const job_row_key& key);

/// @return nothing if the text is not the key of a job's row.
std::optional<job_row_key> decode_job_row_key(std::string_view text);

/// Values of the rows of one job in one table.
struct job_row_values
{
    std::string main;                           ///< Empty if there is none.
    std::map<std::uint32_t, std::string> parts; ///< By part number.
};

/// Distributes an encoded job record over rows of at most `max_row_bytes`.
/// @return the parts by number, and the main row that tells how many there
///   are. The main row has to be stored after the parts.
job_row_values split_job_record(std::string text, std::size_t max_row_bytes);

/// @return the text that split_job_record() distributed.
/// @throws systems_error (`bad_job`) if a part is missing or the main row is
///   malformed.
std::string join_job_record(const job_row_values& rows);

/// @return the number of tasks of a segment with which each segment of the
///   job's progress fits into a row; 0 if the whole progress fits.
std::uint32_t choose_tasks_per_segment(
    const job_spec& spec, std::size_t max_row_bytes);

} // namespace cowslippass
