#pragma once

#include "systems/workload/job.hpp"

namespace cowslippass
{

/// Content of a job's row in the ledger. The row never changes and is removed
/// when the job is settled.
struct job_record
{
    queue_id queue;
    team_id team;
    platform_time acceptance_time; ///< When the coordinator accepted it.
    job_spec spec;
    /// Size of the segments in which the progress is stored; 0 for a single
    /// text.
    std::uint32_t tasks_per_segment = 0;
};

/// @return JSON text for the ledger's row.
std::string encode_job_record(const job_record& record);

/// @throws systems_error (`bad_job`) when the text is not a job record.
job_record decode_job_record(const std::string& text);

} // namespace cowslippass
