#include "policies.h"

int main() {
  eelgrassloom::measureAdmission();
  eelgrassloom::measureRouting();
}
