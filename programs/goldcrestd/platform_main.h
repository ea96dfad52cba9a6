#ifndef GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_
#define GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_

namespace goldcrest {

//! Runs the entry process, which serves callers, until a planned stop is
//! complete. Returns the exit code.
int RunEntry();

//! Runs the controller process, which serves endpoints and operators, until a
//! planned stop is complete or its log can't be written. Returns the exit code.
int RunController();

}  // namespace goldcrest

#endif  // GOLDCREST_PROGRAMS_GOLDCRESTD_PLATFORM_MAIN_H_
