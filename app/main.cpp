#include <cstdio>

#include <cxxopts.hpp>
#include <fmt/format.h>

int
main(int argc, char** argv)
{
  cxxopts::Options options("amaranthgap",
                           "Overload control layer for service call graphs");
  options.add_options()("h,help", "Print this help");
  const auto parsed = options.parse(argc, argv);
  fmt::print("{}", options.help());
  return parsed.count("help") > 0 ? 0 : 2;
}
