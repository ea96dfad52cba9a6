#include "goldcrest/consensus/replica.h"

namespace goldcrest::consensus {}
