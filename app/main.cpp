#include "Commands.h"

int
main(int argc, char** argv)
{
  return amaranthgap::RunCommandLine(argc, argv);
}
