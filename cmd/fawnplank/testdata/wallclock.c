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

/* What depends on the kind of machine: the system call itself, the name of the vDSO's function, the memory that is made
 * writable, and the jump that is written there. */
#if defined(__x86_64__)
#define VDSO_CLOCK_GETTIME "__vdso_clock_gettime"

static long raw_clock_gettime(long clock, struct timespec *now)
{
	long result;
	__asm__ volatile("syscall" : "=a"(result) : "a"(SYS_clock_gettime), "D"(clock), "S"(now) : "rcx", "r11", "memory");
	return result;
}

static int make_writable(uintptr_t entry)
{
	uintptr_t page = entry & ~(uintptr_t)4095;
	return mprotect((void *)page, 8192, PROT_READ | PROT_WRITE | PROT_EXEC);
}

static void write_jump(uintptr_t entry, uintptr_t target)
{
	uint8_t jump[12] = {0x48, 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xe0}; /* mov rax, address; jmp rax */
	memcpy(jump + 2, &target, sizeof target);
	memcpy((void *)entry, jump, sizeof jump);
}
#elif defined(__aarch64__)
#define VDSO_CLOCK_GETTIME "__kernel_clock_gettime"

static long raw_clock_gettime(long clock, struct timespec *now)
{
	register long number __asm__("x8") = SYS_clock_gettime;
	register long first __asm__("x0") = clock;
	register struct timespec *second __asm__("x1") = now;
	__asm__ volatile("svc #0" : "+r"(first) : "r"(number), "r"(second) : "memory");
	return first;
}

/* A mapping of the vDSO cannot be split, so that all of it becomes writable. */
static int make_writable(uintptr_t entry)
{
	uintptr_t base = getauxval(AT_SYSINFO_EHDR), last = entry;
	const Elf64_Ehdr *header = (const void *)base;
	const Elf64_Phdr *program = (const void *)(base + header->e_phoff);
	uintptr_t size = (uintptr_t)sysconf(_SC_PAGESIZE);
	for (int n = 0; n < header->e_phnum; n++)
		if (program[n].p_type == PT_LOAD)
			last = base + program[n].p_offset + program[n].p_memsz - 1;
	return mprotect((void *)base, (last / size + 1) * size - base, PROT_READ | PROT_WRITE | PROT_EXEC);
}

static void write_jump(uintptr_t entry, uintptr_t target)
{
	uint32_t jump[4] = {0x58000050, 0xd61f0200}; /* ldr x16, the address 8 bytes on; br x16 */
	memcpy(jump + 2, &target, sizeof target);
	memcpy((void *)entry, jump, sizeof jump);
	__builtin___clear_cache((char *)entry, (char *)entry + sizeof jump);
}
#else
#error "no jump for this kind of machine"
#endif

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
	uintptr_t entry = find_symbol(getauxval(AT_SYSINFO_EHDR), VDSO_CLOCK_GETTIME);
	int file = path ? open(path, O_RDONLY) : -1;
	if (!entry || file < 0)
		abort();
	offset_seconds = mmap(NULL, 8, PROT_READ, MAP_SHARED, file, 0);
	if (offset_seconds == MAP_FAILED || make_writable(entry) != 0)
		abort();
	write_jump(entry, (uintptr_t)stepped_clock_gettime);
}
