#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_

namespace goldcrest {

//! Runs the process that serves callers until a planned stop has ended.
int RunEntry();

//! Runs the process that serves endpoints and operators until it is stopped or
//! its log can't be written.
int RunController();

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_
