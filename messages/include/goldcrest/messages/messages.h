#ifndef GOLDCREST_MESSAGES_MESSAGES_H_
#define GOLDCREST_MESSAGES_MESSAGES_H_

//! All Thrift structs between daemons and in the log; see goldcrest.thrift for
//! the meaning of their fields.
#include "goldcrest_types.h"  // IWYU pragma: export

#endif  // GOLDCREST_MESSAGES_MESSAGES_H_
