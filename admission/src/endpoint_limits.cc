#include "goldcrest/admission/endpoint_limits.h"
