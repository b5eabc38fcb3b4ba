#pragma once

#include "systems/workload/job.hpp"

namespace cowslippass
{

/// What a job's row in the ledger holds; it never changes, and is removed when
/// the job is settled.
struct job_record
{
    queue_id queue;
    team_id team;
    platform_time acceptance_time; ///< Unix milliseconds.
    job_spec spec;
};

std::string encode_job_record(const job_record& record);

/// @throws systems_error (`bad_job`).
job_record decode_job_record(const std::string& text);

} // namespace cowslippass
