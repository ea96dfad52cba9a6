#include <iostream>

#include "commands.h"

int main(int argc, char** argv) {
  return goldcrest::ctl::RunCommand({argv + 1, argv + argc}, std::cout,
                                    std::cerr);
}
