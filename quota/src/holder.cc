#include "goldcrest/quota/holder.h"
