// Boost.JSON is compiled here, once for all programs.
#include <boost/json/src.hpp>
