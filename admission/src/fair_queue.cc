#include "goldcrest/admission/fair_queue.h"
