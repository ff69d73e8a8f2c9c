// JSON representations of jobs for callers and operators.
#pragma once

#include <string>

#include "src/batch/job_reader.h"

namespace chalkshed {

// The batch object of the OpenAI API.
std::string format_batch(const JobReport& report);
// The list object of the OpenAI API.
std::string format_batch_list(const JobPage& page);
// The batch object extended with tenant and chunk counts, for operators.
std::string format_admin_job(const JobReport& report);
std::string format_admin_jobs(const JobPage& page);

}  // namespace chalkshed
