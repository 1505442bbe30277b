/* Preloaded into a test process: adds an offset to the wall clock of that process alone. The offset, in seconds, is the
 * int64 at the start of the file that WALLCLOCK_OFFSET names. The Go runtime reads the clock through the vDSO of its own
 * process, so the entry of clock_gettime there is replaced by a jump to the function below. */
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset_seconds;

static long raw_clock_gettime(long clock, struct timespec *now)
{
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(SYS_clock_gettime), "D"(clock), "S"(now) : "rcx", "r11", "memory");
	return result;
}

static int stepped_clock_gettime(clockid_t clock, struct timespec *now)
{
	long result = raw_clock_gettime(clock, now);
	if (clock == CLOCK_REALTIME)
		now->tv_sec += *offset_seconds;
	return (int)result;
}

/* find_symbol returns the address of a function of the vDSO, or 0. */
static uintptr_t find_symbol(uintptr_t base, const char *name)
{
	const Elf64_Ehdr *header = (const void *)base;
	const Elf64_Phdr *program = (const void *)(base + header->e_phoff);
	const Elf64_Dyn *dynamic = NULL;
	uintptr_t load = base;
	for (int n = 0; n < header->e_phnum; n++) {
		if (program[n].p_type == PT_LOAD)
			load = base + program[n].p_offset - program[n].p_vaddr;
		if (program[n].p_type == PT_DYNAMIC)
			dynamic = (const void *)(base + program[n].p_offset);
	}
	const char *strings = NULL;
	const Elf64_Sym *symbols = NULL;
	for (; dynamic && dynamic->d_tag != DT_NULL; dynamic++) {
		if (dynamic->d_tag == DT_STRTAB)
			strings = (const void *)(load + dynamic->d_un.d_ptr);
		if (dynamic->d_tag == DT_SYMTAB)
			symbols = (const void *)(load + dynamic->d_un.d_ptr);
	}
	/* The string table follows the symbol table in the vDSO. */
	for (const Elf64_Sym *s = symbols; s && (const char *)s < strings; s++)
		if (strcmp(strings + s->st_name, name) == 0)
			return load + s->st_value;
	return 0;
}

__attribute__((constructor)) static void install(void)
{
	const char *path = getenv("WALLCLOCK_OFFSET");
	uintptr_t entry = find_symbol(getauxval(AT_SYSINFO_EHDR), "__vdso_clock_gettime");
	int file = path ? open(path, O_RDONLY) : -1;
	if (!entry || file < 0)
		abort();
	offset_seconds = mmap(NULL, 8, PROT_READ, MAP_SHARED, file, 0);
	uintptr_t page = entry & ~(uintptr_t)4095;
	if (offset_seconds == MAP_FAILED || mprotect((void *)page, 8192, PROT_READ | PROT_WRITE | PROT_EXEC) != 0)
		abort();
	uint8_t jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; /* mov rax, address; jmp rax */
	uintptr_t target = (uintptr_t)stepped_clock_gettime;
	memcpy(jump + 2, &target, sizeof target);
	memcpy((void *)entry, jump, sizeof jump);
}
