#include "goldcrest/quota/owner.h"
