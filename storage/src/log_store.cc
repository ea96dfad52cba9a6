#include "goldcrest/storage/log_store.h"

namespace goldcrest::storage {}
